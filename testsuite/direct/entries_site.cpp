#include "entries_site.h"

#include <stdexcept>

namespace greengagespar::site {

using namespace std::chrono_literals;

std::string numbered(std::string text, std::uint64_t number) {
  return text.append(std::to_string(number));
}

void EntriesFixture::startEntries(int count) {
  constexpr auto discoveryTime = 1200ms;
  for (int i = 0; i < count; ++i)
    startOne();
  steps(discoveryTime);
}

void EntriesFixture::startOne() {
  EntryProcess entry;
  entry.Settings = Settings;
  entry.Settings.Name = {numbered("entry-", Entries.size() + 1)};
  entry.Settings.Listen = freeAddress();
  entry.Settings.Ready = freeAddress();
  entry.Settings.Directory = freeAddress();
  entry.Settings.Link = freeAddress();
  for (const EntryProcess &it : Entries)
    entry.Settings.Peers.push_back(it.Settings.Link);
  Entries.push_back(std::move(entry));
  EntryProcess &added = Entries.back();
  added.Process = std::make_unique<DirectEntry>(
      Loop.base(), Context, added.Settings, platformDialect());
  auto isReady = [&] {
    return getFrom(added.Settings.Ready, "/-/ready").Head.Status == 200;
  };
  startOrThrow(*added.Process);
  if (!runUntil(isReady))
    throw std::runtime_error("the entry is not ready");
}

void EntriesFixture::steps(std::chrono::milliseconds time) {
  for (auto end = Clock::now() + time; Clock::now() < end;) {
    runFor(2ms);
    if (OnStep)
      OnStep();
  }
}

Call &EntriesFixture::sendParts(std::size_t index, const std::string &parts,
                                const std::string &target) {
  Settings.Listen = Entries[index % Entries.size()].Settings.Listen;
  std::string fields = "X-Api-Key: k1\r\nX-Deadline-Ms: 3000\r\n"
                       "X-Prompt-Prefix: ";
  fields.append(parts).append(numbered(",f", ++NextOwnPart)).append(":600\r\n");
  Calls.push_back(send("POST", target, fields));
  return *Calls.back();
}

} // namespace greengagespar::site
