/// \file
/// Chooses the partners of an entry: the entries that it exchanges membership
/// with. Pure; thread safe on separate values.
#ifndef GREENGAGESPAR_HOST_PARTNERS_H
#define GREENGAGESPAR_HOST_PARTNERS_H

#include "greengagespar/host/member.h"
#include <cstddef>
#include <random>
#include <set>
#include <vector>

namespace greengagespar {

/// How many partners an entry has. The limits bound the messages of an entry,
/// however many other entries there are.
struct PartnerLimits {
  /// When the own data centre has at most this many other entries, all of them
  /// are partners.
  std::size_t Mesh = 8;
  std::size_t Near = 4; ///< Of the own data centre, when it has more than Mesh.
  std::size_t Far = 2;  ///< Of other data centres.
  /// Addresses from which no data is received now: seeds and unresponsive
  /// entries. They are tried so that groups of entries that lost contact find
  /// each other again.
  std::size_t Unreached = 4;
};

/// Chooses the partners of the next round. Partners in \p current that still
/// qualify are kept, because their connections are open. With \p renew one
/// partner of each kind is replaced at random, so that the graph of all entries
/// changes and stays connected. \p seeds are link addresses at which other
/// entries may be found.
std::vector<Address> choosePartners(const MemberView &view,
                                    const std::set<Address> &seeds,
                                    const std::vector<Address> &current,
                                    bool renew, const PartnerLimits &limits,
                                    std::mt19937_64 &rng);

} // namespace greengagespar

#endif // GREENGAGESPAR_HOST_PARTNERS_H
