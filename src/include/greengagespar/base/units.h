/// \file
/// Units of size.
#ifndef GREENGAGESPAR_BASE_UNITS_H
#define GREENGAGESPAR_BASE_UNITS_H

#include <cstdint>

namespace greengagespar {

/// Bytes in a kibibyte.
inline constexpr std::int64_t KiB = 1024;
/// Bytes in a mebibyte.
inline constexpr std::int64_t MiB = 1024 * KiB;

} // namespace greengagespar

#endif // GREENGAGESPAR_BASE_UNITS_H
