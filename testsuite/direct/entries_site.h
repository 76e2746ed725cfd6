/// \file
/// Several entries of one site that run on the event loop of a test. Not thread
/// safe.
#ifndef GREENGAGESPAR_DIRECT_ENTRIES_SITE_TEST_H
#define GREENGAGESPAR_DIRECT_ENTRIES_SITE_TEST_H

#include "site.h"
#include <random>

namespace greengagespar::site {

/// Returns \p text followed by \p number.
std::string numbered(std::string text, std::uint64_t number);

/// A site with several entries, which know each other.
struct EntriesFixture : SiteFixture {
  /// One entry and its settings.
  struct EntryProcess {
    DirectSettings Settings;
    std::unique_ptr<DirectEntry> Process;
  };

  std::vector<EntryProcess> Entries;
  std::vector<std::unique_ptr<Call>> Calls; ///< All that were sent.
  std::mt19937_64 Rng{7};
  /// Does what is due at the servers; called every few milliseconds.
  std::function<void()> OnStep;

  /// Starts \p count entries and waits until they know each other.
  void startEntries(int count);
  /// Starts one more entry and waits until it is ready.
  void startOne();
  /// Runs the loop and OnStep for \p time.
  void steps(std::chrono::milliseconds time);
  /// Sends a stream request with the shared \p parts in its prompt, and a part
  /// of its own behind them, via the entry \p index (modulo their number).
  Call &sendParts(std::size_t index, const std::string &parts,
                  const std::string &target = "/draft/1");

private:
  std::uint64_t NextOwnPart = 0;
};

} // namespace greengagespar::site

#endif // GREENGAGESPAR_DIRECT_ENTRIES_SITE_TEST_H
