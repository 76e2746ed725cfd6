/// \file
/// The entries as the platform lists them under /system/entries/: only a way to
/// find the first peers; who lives is learnt from heartbeats. Not thread safe:
/// belongs to the thread of its loop.
#ifndef GREENGAGESPAR_ENTRY_ENTRY_DIRECTORY_H
#define GREENGAGESPAR_ENTRY_ENTRY_DIRECTORY_H

#include "greengagespar/host/member.h"
#include "greengagespar/store/backoff.h"
#include "greengagespar/store/guard.h"
#include "greengagespar/store/object_client.h"
#include "greengagespar/store/timer.h"
#include <functional>
#include <random>
#include <vector>

namespace greengagespar {

/// Path of the entries' objects; the entry's name follows.
inline constexpr const char *EntriesPrefix = "/system/entries/";

/// Writes this entry's object when it differs, then lists all of them. Writing
/// comes first, so that of two entries that start at one moment at least one
/// sees the other. Tries again with backoff until both succeeded: two calls,
/// three when the object changed.
class EntryDirectory {
public:
  /// Receives the link addresses that are listed.
  using OnFound = std::function<void(const std::vector<Address> &)>;

  /// Precondition: \p loop and \p client outlive the directory.
  EntryDirectory(event_base *loop, ObjectClient &client, MemberRow own,
                 std::uint64_t seed, OnFound found);

  /// Starts; also to list once more. Does nothing while it is at work.
  void start();

private:
  void read();
  void compare(const Object &present);
  void list();
  void retry();

  ObjectClient &Client;
  MemberRow Own;
  OnFound Found;
  bool AtWork = false;
  Backoff Delay;
  std::mt19937_64 Rng;
  Timer Next;
  Guard Life;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_ENTRY_ENTRY_DIRECTORY_H
