/// \file
/// Judges the rules of a soak from what its clients and servers saw. Pure
/// functions over plain records; thread safe. All times count from the start of
/// the run.
#ifndef GREENGAGESPAR_SOAK_JUDGE_H
#define GREENGAGESPAR_SOAK_JUDGE_H

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace greengagespar::soak {

using Time = std::chrono::milliseconds;

/// One client attempt, a request with an id of its own.
struct Attempt {
  std::string Id;
  std::size_t Entry = 0;
  bool MayRepeat = false;      ///< An idempotent request.
  bool IsOnKept = false;       ///< Its connection had an answer before.
  Time SentAt{0};              ///< Of its last byte.
  Time Deadline{0};            ///< Time that the client gave it.
  std::optional<Time> EndedAt; ///< Empty: the run ended first.
  int Status = 0;              ///< Of a complete answer; 0: there was none.
  std::string Named; ///< Body of a complete answer: servers name the request.
  bool WasConnected = true;
};

/// A request that reached a server.
struct Arrival {
  std::string Id;
  Time At{0};
  std::optional<Time> RanAt;  ///< Empty: the server turned it away.
  std::optional<Time> DoneAt; ///< When the server had finished its work.
  bool ServerBroke = false;   ///< The server ended the connection early.
  std::size_t Server = 0;
  std::size_t Connection = 0;     ///< Its number at the server.
  std::optional<Time> AnsweredAt; ///< Empty: it got no answer.
};

/// A copy of an answer, written on the connection that had the answer.
struct Copy {
  std::size_t Original = 0; ///< Index of the arrival that was answered.
  std::optional<Time> From; ///< Of its first byte; empty: none was written.
  Time To{0};               ///< Of its last byte so far.
};

/// What was done to an entry from outside.
enum class DisruptionKind { Stop, Freeze, Kill, Reload };

/// One disruption of an entry, or of all when the store was disturbed.
struct Disruption {
  std::optional<std::size_t> Entry; ///< Empty: the store.
  DisruptionKind Kind = DisruptionKind::Freeze;
  Time From{0};
  Time To{0};
};

/// A time in which the operator had taken a server's data centre out of
/// service.
struct Outage {
  std::size_t Server = 0;
  Time From{0};           ///< When the store acknowledged the order.
  std::optional<Time> To; ///< When it was withdrawn; empty: not in the run.
};

/// A time in which the store refused calls or was silent.
struct StoreTrouble {
  Time From{0};
  Time To{0};
};

/// The bounds of a site, by the names that its sheet gives them.
struct Bounds {
  double RetryShare = 0.2;
  double ExtraRetries = 0;
  Time RetryWindow{10000};
  Time StableWindow{3000};
  Time Grace{8000};
  Time LossSlack{200};
  Time ConfigTime{2000};
  Time OutOfServiceTime{3000}; ///< For an order to be in force.
};

/// All that a run has recorded.
struct Record {
  Bounds Limits;
  std::vector<Attempt> Attempts;
  std::vector<Arrival> Arrivals; ///< In their order.
  std::vector<Copy> Copies;
  std::size_t Connections = 0; ///< That entries opened to servers.
  std::vector<Disruption> Disruptions;
  Time Length{0};
  std::vector<Outage> Outages = {};
  std::vector<StoreTrouble> StoreTroubles = {};
};

/// What broke a rule: its name, and ids or figures.
struct Finding {
  std::string Rule;
  std::string What;
};

/// REFUSED: a request that may not be repeated was answered 408, 421, 429 or
/// 503 and has run, or ran later.
std::vector<Finding> judgeRefused(const Record &record);

/// TWICE: a request that may not be repeated ran more than once.
std::vector<Finding> judgeTwice(const Record &record);

/// MIXED: an answer of a server names another request.
std::vector<Finding> judgeMixed(const Record &record);

/// BUDGET: in a window, each full second of the run taken as its end, more
/// arrivals beyond the first of each request than the share of the requests and
/// the extra ones, over all entries. Arrivals that were turned away count. The
/// requests are those of the window, of the one before it, or of the one half a
/// window before it, whichever has most.
std::vector<Finding> judgeBudget(const Record &record);

/// LOST, at any time: an entry in touch passed a request of a kept connection
/// on to a server that answered, and its connection ended without an answer;
/// more than three times.
std::vector<Finding> judgeLost(const Record &record);

/// LOST, around planned work (a stop, or a reload) without unplanned
/// disruption: a request that was read got no complete answer, once it was
/// passed on, or later than the slack after its last byte.
std::vector<Finding> judgeLostAroundPlannedWork(const Record &record);

/// OUTAGE: an entry in touch sent a request that reached a server whose data
/// centre had been out of service for longer than the bound. An entry is in
/// touch if neither it nor the store was disturbed in the stable window before.
std::vector<Finding> judgeOutages(const Record &record);

/// Returns the attempts that callers lost around planned work without
/// unplanned disruption, whether or not they were read. No rule bounds their
/// number.
std::size_t cutAroundPlannedWork(const Record &record);

/// Numbers of copies.
struct CopyCounts {
  std::size_t Sent = 0; ///< In part at least.
  /// Of those, whose request came to the same server again, on any connection.
  /// Without them a run shows nothing about copies.
  std::size_t CameAgain = 0;
  /// Of those, written while the request was under way again on the connection
  /// of the copy, so that they could be taken for its answer.
  std::size_t Met = 0;
};

/// Counts the copies of \p record.
CopyCounts countCopies(const Record &record);

/// Returns the findings of all rules.
std::vector<Finding> judge(const Record &record);

} // namespace greengagespar::soak

#endif // GREENGAGESPAR_SOAK_JUDGE_H
