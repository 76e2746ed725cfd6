/// \file
/// Finds out whether servers have ended, after connections to them broke
/// without an answer. A server that has ended refuses a connection to its
/// address; one that has only lost an answer accepts it.
#ifndef GREENGAGESPAR_DIRECT_SERVER_END_CHECKS_H
#define GREENGAGESPAR_DIRECT_SERVER_END_CHECKS_H

#include "greengagespar/base/timer.h"
#include "greengagespar/direct/site.h"
#include <functional>
#include <list>

struct bufferevent;

namespace greengagespar {

namespace detail {
struct ServerEndCheck;
} // namespace detail

/// Checks of one entry, at most one for a server at a time and MaxChecks in
/// all. Not thread safe: belongs to the thread of its loop.
class ServerEndChecks {
public:
  /// Calls \p onEnded for each server that is found to have ended.
  /// Precondition: \p loop outlives the checks.
  ServerEndChecks(event_base *loop,
                  std::function<void(const ServerRecord &)> onEnded);
  ~ServerEndChecks();
  ServerEndChecks(const ServerEndChecks &) = delete;
  ServerEndChecks &operator=(const ServerEndChecks &) = delete;

  /// Checks \p server soon, unless a check of it is in progress or too many
  /// are.
  void start(const ServerRecord &server);

  /// Largest number of checks in progress.
  static constexpr std::size_t MaxChecks = 64;

private:
  friend struct detail::ServerEndCheck;
  void finish(detail::ServerEndCheck &check, bool hasEnded);

  event_base *Loop;
  std::function<void(const ServerRecord &)> OnEnded;
  std::list<detail::ServerEndCheck> Checks;
  std::list<detail::ServerEndCheck> Finished; ///< Freed by Cleanup.
  Timer Cleanup;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_SERVER_END_CHECKS_H
