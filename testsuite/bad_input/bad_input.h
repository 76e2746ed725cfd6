/// \file
/// A small system with a valid call in progress, to which tests send bad input.
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

/// One streamed draft that is in progress while a test sends bad input. Its
/// answer is read to the end after that.
class ValidCall {
public:
  /// Sends the draft to \p entry and waits for its first token.
  ValidCall(const Address &entry, const ClusterPlan &plan);

  /// Waits for the end of the answer and returns the outcome of the call.
  load::CallOutcome finish();

private:
  Loop Events;
  load::HttpClient Client;
  load::CallSpec Call;
  load::StreamReader Reader;
  std::optional<HttpAnswer> Answer;
};

/// A started system of one entry, one engine and one ledger with a valid call
/// in progress.
struct BadInputFixture : Cluster {
  explicit BadInputFixture(ClusterPlan plan = smallPlan());
  ~BadInputFixture();
  BadInputFixture(const BadInputFixture &) = delete;
  BadInputFixture &operator=(const BadInputFixture &) = delete;

  static ClusterPlan smallPlan();

  /// Returns the entry's HTTP address.
  Address entry() const { return address("entry-1"); }

  /// Checks that the valid call ends with a whole answer, that the entry is
  /// ready and serves, and that the programs still run as the same processes
  /// and have not grown much. The destructor calls it at the end of each test.
  void checkStillServing();

  /// Returns one metric of the entry without labels; 0 if it isn't there.
  std::uint64_t metric(const std::string &name);

  /// Returns the number of streams that the engine runs.
  std::int64_t runningStreams();

private:
  struct WatchedProcess {
    std::string Name;
    pid_t Pid = 0;
    long ResidentKb = 0;
  };
  std::vector<WatchedProcess> Programs;
  std::unique_ptr<ValidCall> CallInProgress;
};

/// A request as it is sent; bytesOf() adds Content-Length if there is a body.
struct RawRequest {
  std::string Method = "POST";
  std::string Target = "/v1/completions";
  std::string Headers = "X-Workspace: members\r\n"; ///< Whole header lines.
  std::string Body = "";
};

/// Returns the bytes of \p request.
std::string bytesOf(const RawRequest &request);

/// Returns the body of a draft whose prompt and answer have \p tokens tokens.
std::string draftBody(std::uint64_t tokens, bool stream = false);

/// Sends \p bytes to \p server and reads one answer that has a Content-Length.
/// The status is 0 if the answer can't be read.
HttpAnswer answerTo(const Address &server, std::string_view bytes);

} // namespace greengagespar::harness

#endif // GREENGAGESPAR_BAD_INPUT_H
