#include "greengagespar/base/hash.h"

namespace greengagespar {

namespace {

constexpr std::uint64_t OffsetBasis = 0xcbf29ce484222325ULL;
constexpr std::uint64_t Prime = 0x100000001b3ULL;

} // namespace

std::uint64_t mixBits(std::uint64_t x) {
  x ^= x >> 33;
  x *= 0xff51afd7ed558ccdULL;
  x ^= x >> 33;
  x *= 0xc4ceb9fe1a85ec53ULL;
  x ^= x >> 33;
  return x;
}

std::uint64_t stableHash(std::string_view text) {
  std::uint64_t hash = OffsetBasis;
  for (char c : text) {
    hash ^= static_cast<unsigned char>(c);
    hash *= Prime;
  }
  return mixBits(hash);
}

ServerIncarnationId incarnationIdOf(const ServerId &server,
                                    std::uint64_t startedMs) {
  return {mixBits(stableHash(server.Value) ^ startedMs)};
}

std::uint64_t rendezvousScore(std::uint64_t keyHash, std::string_view id) {
  // The key's hash is mixed once more than the id's: the plain sum of both
  // hashes would be the same with key and id exchanged, and always even for an
  // id that equals the key.
  return mixBits(stableHash(id) + mixBits(keyHash));
}

} // namespace greengagespar
