/// \file
/// A soak: entries as processes of their own, with ledger servers, the store
/// and clients on the event loop of the run, under seeded series of disruptions
/// that overlap. Not thread safe.
#ifndef GREENGAGESPAR_SOAK_RUN_H
#define GREENGAGESPAR_SOAK_RUN_H

#include "judge.h"
#include <cstdint>
#include <filesystem>

namespace greengagespar::soak {

/// What a soak does. All kinds of disruption are on unless they are left out.
struct SoakOptions {
  std::uint64_t Seed = 1;
  std::chrono::seconds Length{25};
  int Entries = 3;
  int Ledgers = 3;
  int Clients = 300;
  /// Requests come at the same moment from about a hundred clients, and not
  /// one by one.
  bool HasClumps = true;
  bool Freezes = true; ///< SIGSTOP and SIGCONT, at clumps and at other times.
  bool Stops = true;   ///< SIGTERM and a restart, and SIGHUP.
  bool Kills = true;   ///< SIGKILL and a restart, in series too.
  bool BadServers = true; ///< Servers that reset, fail, are slow or full.
  bool StoreTrouble = true;
  bool LoneServer = true; ///< Spans in which all but one are away or full.
  /// Each server has a data centre of its own, and the operator takes one of
  /// them after the other out of service.
  bool Outages = true;
  /// Shares of the requests that servers refuse at random, of their refusals
  /// that they copy, and of their other answers that they copy, in percent.
  std::size_t RefusedPercent = 10;
  std::size_t CopiedRefusalPercent = 50;
  std::size_t CopiedAnswerPercent = 5;
  bool CopiesAtOnce = true; ///< Copies come right behind their answers too.
  /// Program of the entries; empty: the one beside the running program.
  std::filesystem::path Program;
  std::filesystem::path Logs; ///< Where entries write; empty: nowhere.
};

/// Runs a soak and returns what its clients and servers saw.
Record runSoak(const SoakOptions &options);

} // namespace greengagespar::soak

#endif // GREENGAGESPAR_SOAK_RUN_H
