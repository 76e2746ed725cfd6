/// \file
/// Queries an entry for the addresses that callers should use.
#ifndef GREENGAGESPAR_LOAD_ENTRIES_H
#define GREENGAGESPAR_LOAD_ENTRIES_H

#include "greengagespar/base/errors.h"
#include "greengagespar/base/ids.h"
#include <string_view>
#include <vector>

namespace greengagespar::load {

/// Parses the body of an answer to `GET /v1/entries`. Fails with BadRequest if
/// the body is not such an answer or lists no address. Thread safe.
Result<std::vector<Address>> readEntries(std::string_view body);

/// Queries \p entry on an event loop of its own and blocks until the answer
/// arrives. Fails with LinkDown if no answer with status 200 arrives, else as
/// readEntries does. Thread safe.
Result<std::vector<Address>> queryEntries(const Address &entry);

} // namespace greengagespar::load

#endif // GREENGAGESPAR_LOAD_ENTRIES_H
