/// \file
/// Which processes an entry exchanges membership with. Pure; thread safe on
/// separate values.
#ifndef GREENGAGESPAR_HOST_PARTNERS_H
#define GREENGAGESPAR_HOST_PARTNERS_H

#include "greengagespar/host/member.h"
#include <cstddef>
#include <random>
#include <set>
#include <vector>

namespace greengagespar {

/// How many partners an entry has. Its messages do not grow with the number of
/// entries beyond these bounds.
struct PartnerLimits {
  /// Up to this many other entries of the own data centre, all are partners.
  std::size_t Mesh = 8;
  std::size_t Near = 4; ///< Of the own data centre when there are more.
  std::size_t Far = 2;  ///< Of other data centres.
  /// Addresses from which nothing is heard now: seeds and silent entries. So
  /// groups of entries that lost each other find each other again.
  std::size_t Unheard = 4;
};

/// Chooses the partners of the next round. Partners in \p current that still
/// qualify are kept, because their connections are open; with \p renew one of
/// each kind is replaced at random, so that the graph of all entries changes
/// and stays connected. \p seeds are link addresses known from elsewhere.
std::vector<Address> choosePartners(const MemberView &view,
                                    const std::set<Address> &seeds,
                                    const std::vector<Address> &current,
                                    bool renew, const PartnerLimits &limits,
                                    std::mt19937_64 &rng);

} // namespace greengagespar

#endif // GREENGAGESPAR_HOST_PARTNERS_H
