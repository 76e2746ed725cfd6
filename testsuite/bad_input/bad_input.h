/// \file
/// A small system with a good call in progress, to which tests send bad input.
/// Not thread safe.
#ifndef GREENGAGESPAR_BAD_INPUT_H
#define GREENGAGESPAR_BAD_INPUT_H

#include "cluster.h"
#include "greengagespar/load/calls.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace greengagespar::harness {

/// One streamed draft whose answer is read while and after bad input is sent.
class GoodCall {
public:
  /// Sends the draft to \p entry and waits for its first token.
  GoodCall(const Address &entry, const ClusterPlan &plan);

  /// Waits for the end. Returns what became of the call.
  load::CallOutcome finish();

private:
  Loop Events;
  load::HttpClient Client;
  load::CallSpec Call;
  load::StreamReader Reader;
  std::optional<HttpAnswer> Answer;
};

/// One entry, one engine and one ledger.
struct BadInputFixture : Cluster {
  explicit BadInputFixture(ClusterPlan plan = smallPlan());
  ~BadInputFixture();
  BadInputFixture(const BadInputFixture &) = delete;
  BadInputFixture &operator=(const BadInputFixture &) = delete;

  static ClusterPlan smallPlan();

  /// Returns the entry's HTTP address.
  Address entry() const { return address("entry-1"); }

  /// Checks that the good call ends whole, and that the programs are the same
  /// processes, answer, and have not grown much. Runs at each test's end.
  void checkUnharmed();

  /// Returns one counter of the entry.
  std::uint64_t metric(const std::string &name);

  /// Returns how many streams the engine runs.
  std::int64_t runningStreams();

private:
  struct Watched {
    std::string Name;
    pid_t Pid = 0;
    long ResidentKb = 0;
  };
  std::vector<Watched> Programs;
  std::unique_ptr<GoodCall> Good;
};

/// A request as it goes over the wire; Content-Length is added for a body.
struct RawRequest {
  std::string Method = "POST";
  std::string Target = "/v1/completions";
  std::string Headers = "X-Workspace: members\r\n"; ///< Whole lines.
  std::string Body = "";
};

/// Returns the bytes of \p request.
std::string bytesOf(const RawRequest &request);

/// Returns a draft's body of \p tokens tokens.
std::string draftBody(std::uint64_t tokens, bool stream = false);

/// Sends \p bytes and reads one answer that has a Content-Length.
HttpAnswer answerTo(const Address &server, std::string_view bytes);

} // namespace greengagespar::harness

#endif // GREENGAGESPAR_BAD_INPUT_H
