/// \file
/// The requests that a connection has carried, by the ids that their answers
/// repeat. A server may send an answer more than once. Such a copy is told from
/// the answer that is due by its id, so a connection must not carry an id
/// twice. Pure functions over a plain struct; not thread safe.
#ifndef GREENGAGESPAR_HTTP_CARRIED_REQUESTS_H
#define GREENGAGESPAR_HTTP_CARRIED_REQUESTS_H

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace greengagespar {

/// Number of requests after which a connection carries no further ones, as it
/// could not tell them from those before.
inline constexpr std::size_t MaxCarriedRequests = 1024;

/// The requests of one connection.
struct CarriedRequests {
  std::vector<std::uint64_t> Hashes; ///< Of their ids.
};

/// Records that the connection carries a request with \p id.
/// \pre !isFull(\p carried)
void recordRequest(CarriedRequests &carried, std::string_view id);

/// Whether the connection has carried a request with \p id. May be true for
/// another id with the same hash.
bool hasCarried(const CarriedRequests &carried, std::string_view id);

/// Whether no further request can be recorded.
bool isFull(const CarriedRequests &carried);

} // namespace greengagespar

#endif // GREENGAGESPAR_HTTP_CARRIED_REQUESTS_H
