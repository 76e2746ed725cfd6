/// \file
/// Asks an entry which addresses callers shall use.
#ifndef GREENGAGESPAR_LOAD_ENTRIES_H
#define GREENGAGESPAR_LOAD_ENTRIES_H

#include "greengagespar/base/errors.h"
#include "greengagespar/base/ids.h"
#include <string_view>
#include <vector>

namespace greengagespar::load {

/// Reads the answer of `GET /v1/entries`. Fails with BadRequest when it is none
/// or lists no address. Thread safe.
Result<std::vector<Address>> readEntries(std::string_view body);

/// Asks \p entry, on a loop of its own, and waits for the answer. Fails with
/// LinkDown when no answer comes. Thread safe.
Result<std::vector<Address>> askEntries(const Address &entry);

} // namespace greengagespar::load

#endif // GREENGAGESPAR_LOAD_ENTRIES_H
