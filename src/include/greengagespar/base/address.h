/// \file
/// IP addresses with ports, as they stand in settings. Host names are refused:
/// processes talk by IP numbers. All functions are pure and thread safe.
#ifndef GREENGAGESPAR_BASE_ADDRESS_H
#define GREENGAGESPAR_BASE_ADDRESS_H

#include "greengagespar/base/ids.h"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace greengagespar {

/// The parts of an Address.
struct IpPort {
  std::string Ip;         ///< "127.0.0.1" or "::1", without brackets.
  std::uint16_t Port = 0; ///< Never zero.
  bool IsV6 = false;
};

/// Splits "127.0.0.1:7001" or "[::1]:7001" in its parts; empty when \p text is
/// anything else.
std::optional<IpPort> parseIpPort(std::string_view text);

} // namespace greengagespar

#endif // GREENGAGESPAR_BASE_ADDRESS_H
