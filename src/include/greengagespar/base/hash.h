/// \file
/// Hashes that are the same in every process and every version of the
/// programs, and the rendezvous order built on them. All functions are pure
/// and thread safe. Don't use them for secrets: an attacker can make keys
/// collide.
#ifndef GREENGAGESPAR_BASE_HASH_H
#define GREENGAGESPAR_BASE_HASH_H

#include "greengagespar/base/ids.h"
#include <algorithm>
#include <cstdint>
#include <string_view>
#include <vector>

namespace greengagespar {

/// Spreads every bit of \p x over all bits of the result: the 64-bit finalizer
/// of MurmurHash3 (Austin Appleby, public domain).
std::uint64_t mixBits(std::uint64_t x);

/// Hashes \p text: 64-bit FNV-1a (Fowler, Noll and Vo; offset basis and prime
/// as in draft-eastlake-fnv) followed by mixBits.
std::uint64_t stableHash(std::string_view text);

/// Returns the identifier of the incarnation of \p server that started at
/// \p startedMs.
ServerIncarnationId incarnationIdOf(const ServerId &server,
                                    std::uint64_t startedMs);

/// Returns the score of \p id for the key with hash \p keyHash, as in highest
/// random weight hashing (Thaler and Ravishankar, IEEE/ACM Transactions on
/// Networking 6(1), 1998). Scores for different ids are independent.
std::uint64_t rendezvousScore(std::uint64_t keyHash, std::string_view id);

/// Returns \p ids ordered by their score for \p key, highest first; ids with
/// equal scores are ordered by id. Every process that knows the same ids
/// computes the same order, and removing one id does not change the order of
/// the others.
template <class Tag>
std::vector<TextId<Tag>> rendezvousOrder(std::string_view key,
                                         const std::vector<TextId<Tag>> &ids) {
  struct Scored {
    std::uint64_t Score;
    const TextId<Tag> *Id;
  };
  std::uint64_t keyHash = stableHash(key);
  std::vector<Scored> scored;
  scored.reserve(ids.size());
  for (const TextId<Tag> &id : ids)
    scored.push_back({rendezvousScore(keyHash, id.Value), &id});
  std::sort(scored.begin(), scored.end(), [](const Scored &a, const Scored &b) {
    return a.Score != b.Score ? a.Score > b.Score : *a.Id < *b.Id;
  });
  std::vector<TextId<Tag>> order;
  order.reserve(ids.size());
  for (const Scored &it : scored)
    order.push_back(*it.Id);
  return order;
}

} // namespace greengagespar

#endif // GREENGAGESPAR_BASE_HASH_H
