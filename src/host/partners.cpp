#include "greengagespar/host/partners.h"

#include <algorithm>
#include <iterator>

namespace greengagespar {

namespace {

/// Appends at most \p count of \p candidates to \p chosen, those of \p current
/// first. With \p renew one address of \p current that would be kept is
/// replaced at random.
void pick(std::vector<Address> candidates, std::size_t count,
          const std::vector<Address> &current, bool renew, std::mt19937_64 &rng,
          std::vector<Address> &chosen) {
  if (candidates.size() > count) {
    std::shuffle(candidates.begin(), candidates.end(), rng);
    auto rest = std::stable_partition(
        candidates.begin(), candidates.end(),
        [&](const Address &it) { return std::ranges::count(current, it) > 0; });
    auto kept = std::distance(candidates.begin(), rest);
    bool full = kept >= static_cast<std::ptrdiff_t>(count);
    // Both are random, because the candidates have been shuffled.
    if (renew && full && rest != candidates.end())
      std::iter_swap(candidates.begin(), rest);
    candidates.resize(count);
  }
  chosen.insert(chosen.end(), candidates.begin(), candidates.end());
}

} // namespace

std::vector<Address> choosePartners(const MemberView &view,
                                    const std::set<Address> &seeds,
                                    const std::vector<Address> &current,
                                    bool renew, const PartnerLimits &limits,
                                    std::mt19937_64 &rng) {
  std::vector<Address> near;
  std::vector<Address> far;
  std::vector<Address> unreached;
  for (const auto &[address, member] : view.Members) {
    if (address == view.Self || member.Row.Role != MemberRole::Entry)
      continue;
    bool isNear = member.Row.DataCentre == view.DataCentre;
    if (member.State == MemberState::Unresponsive)
      unreached.push_back(address);
    else
      (isNear ? near : far).push_back(address);
  }
  for (const Address &it : seeds)
    if (it != view.Self && !view.Members.contains(it))
      unreached.push_back(it);
  std::vector<Address> chosen;
  bool isMesh = near.size() <= limits.Mesh;
  pick(near, isMesh ? near.size() : limits.Near, current, renew, rng, chosen);
  pick(far, limits.Far, current, renew, rng, chosen);
  pick(unreached, limits.Unreached, current, renew, rng, chosen);
  return chosen;
}

} // namespace greengagespar
