/// \file
/// The servers of a soak. Not thread safe.
#ifndef GREENGAGESPAR_SOAK_LEDGER_H
#define GREENGAGESPAR_SOAK_LEDGER_H

#include "../direct/site.h"
#include "draw.h"
#include "judge.h"
#include "soak_run.h"
#include <deque>
#include <map>
#include <utility>

namespace greengagespar::soak {

/// How a ledger behaves for a while.
enum class LedgerMood {
  Sound,
  Slow,         ///< Works ten times as long.
  Fails,        ///< Answers its work with a failure.
  ResetsBefore, ///< Resets the connection of a request that arrives.
  ResetsAfter,  ///< Works, and resets the connection in place of an answer.
  Full,         ///< Refuses what arrives.
  Away          ///< Has closed its connections and refuses new ones.
};

/// What ledgers use and fill of their run.
struct LedgerRun {
  const SoakOptions &Options;
  Draw &Choices;
  Record &Seen;
  std::function<Time()> Since; ///< Time since the start of the run.
};

/// A ledger server with slots and a queue, which runs queued requests also when
/// their connection has closed. It refuses requests at random, and writes
/// copies of its answers.
class Ledger {
public:
  Ledger(LedgerRun run, std::size_t number)
      : Run(std::move(run)), Number(number) {}

  /// Gives the ledger the server whose requests go to arrive().
  void attach(site::FakeServer &server) { Server = &server; }
  /// Records a request that arrives, and returns what the server does with it.
  site::FakeAnswer arrive(const HttpRequestMessage &request);
  /// Behaves like \p mood until \p until, and soundly after that.
  void setMood(LedgerMood mood, Clock::time_point until);
  /// Goes on with what is due.
  void step();

private:
  /// What is left of a copy on a connection.
  struct Rest {
    std::size_t Copy = 0;      ///< Index in the record.
    std::string AtNextRequest; ///< Written when the next request has come.
    std::string AtNextAnswer;  ///< Written ahead of the next answer.
  };

  void begin(std::size_t arrival);
  site::FakeAnswer finish(const HttpRequestMessage &request);
  site::FakeAnswer answer(std::size_t arrival, const std::string &bytes,
                          std::size_t copiedPercent);
  std::string copy(std::size_t arrival, const std::string &bytes);
  std::string take(std::size_t copy, std::string &piece);

  LedgerRun Run;
  std::size_t Number;
  site::FakeServer *Server = nullptr;
  LedgerMood Mood = LedgerMood::Sound;
  Clock::time_point MoodUntil;
  // Arrivals are indices in the record.
  std::map<std::size_t, std::size_t> ArrivalOn; ///< Last one by connection.
  /// Arrivals at work, with the time at which their answer is due.
  std::map<std::size_t, Clock::time_point> Running;
  std::deque<std::size_t> Waiting;
  std::map<std::size_t, Rest> Rests; ///< By connection.
};

} // namespace greengagespar::soak

#endif // GREENGAGESPAR_SOAK_LEDGER_H
