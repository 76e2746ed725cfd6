/// \file
/// The entries that the platform lists under /system/entries/. An entry uses
/// the list only to find its first peers; heartbeats show which entries are
/// live. Not thread safe: used from the loop's thread only.
#ifndef GREENGAGESPAR_ENTRY_ENTRY_DIRECTORY_H
#define GREENGAGESPAR_ENTRY_ENTRY_DIRECTORY_H

#include "greengagespar/base/timer.h"
#include "greengagespar/host/member.h"
#include "greengagespar/store/backoff.h"
#include "greengagespar/store/guard.h"
#include "greengagespar/store/object_client.h"
#include <functional>
#include <random>
#include <vector>

namespace greengagespar {

/// Path prefix of the entries' objects; the entry's name follows.
inline constexpr const char *EntriesPrefix = "/system/entries/";

/// Writes this entry's object to the platform when it differs, then lists the
/// objects of all entries. The write comes first, so that of two entries that
/// start at the same time at least one sees the other. The directory tries
/// again with backoff until both have succeeded. This takes two calls to the
/// platform, or three when the object changed.
class EntryDirectory {
public:
  /// Receives the link addresses of the listed entries.
  using OnFound = std::function<void(const std::vector<Address> &)>;

  /// Precondition: \p loop and \p client outlive the directory.
  EntryDirectory(event_base *loop, ObjectClient &client, MemberRow own,
                 std::uint64_t seed, OnFound found);

  /// Starts to write and list; call it again to list once more. Does nothing
  /// while an earlier start is in progress.
  void start();

private:
  void readOwn();
  void writeIfChanged(const Object &present);
  void list();
  void retry();

  ObjectClient &Client;
  MemberRow OwnRow;
  OnFound Found;
  bool IsRunning = false;
  Backoff Delay;
  std::mt19937_64 Rng;
  Timer RetryTimer;
  Guard CallbackGuard;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_ENTRY_ENTRY_DIRECTORY_H
