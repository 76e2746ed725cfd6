/// \file
/// Stand-ins for the users' platform that run on the event loop of a test: its
/// store, servers with scripted answers, and callers. Not thread safe.
#ifndef GREENGAGESPAR_DIRECT_SITE_TEST_H
#define GREENGAGESPAR_DIRECT_SITE_TEST_H

#include "greengagespar/base/event_loop.h"
#include "greengagespar/base/timer.h"
#include "greengagespar/direct/direct_entry.h"
#include "greengagespar/http/client.h"
#include "greengagespar/http/server.h"
#include "platform/dialect.h"
#include <boost/json.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>
#include <zmq.hpp>

struct bufferevent;
struct evconnlistener;

namespace greengagespar::site {

/// Returns a loopback address whose port is free. Throws if there is none.
Address freeAddress();

/// The platform's store: holds objects by kind and name, and answers lists and
/// long polls, those without news at the end of their wait.
class FakeStore {
public:
  explicit FakeStore(event_base *loop);

  /// Writes an object and answers the pending polls of its kind.
  void put(const std::string &kind, const std::string &name,
           const boost::json::value &spec);
  void remove(const std::string &kind, const std::string &name);

  /// Keeps what the store holds now for a later restore().
  void keepCopy();
  /// Replaces what the store holds by the kept copy, as a restore does:
  /// revisions go back, the history is gone and all polls are cut.
  void restore();

  /// While this is set, the store answers every call with 503.
  bool IsUnavailable = false;
  /// While this is set, the store answers nothing. Calls that arrive and polls
  /// that end meanwhile get no answer later either.
  bool IsSilent = false;
  /// Whether answers state which restore they come from.
  bool StatesTimeline = true;
  const Address &at() const { return At; }
  int calls() const { return Calls; }
  /// Returns the number of calls about objects of \p kind.
  int calls(const std::string &kind) const {
    auto it = CallsByKind.find(kind);
    return it == CallsByKind.end() ? 0 : it->second;
  }

private:
  struct Entry {
    std::uint64_t Revision = 0;
    boost::json::value Spec;
  };
  struct Poll {
    std::string Kind;
    std::uint64_t After = 0;
    Clock::time_point EndsAt;
    std::shared_ptr<HttpReply> Reply;
  };
  struct Change {
    std::uint64_t Revision = 0;
    std::string Kind;
    std::string Name;
    bool IsRemoved = false;
    boost::json::value Spec;
  };

  /// All objects at one revision.
  struct Contents {
    std::uint64_t Revision = 1;
    std::map<std::string, std::map<std::string, Entry>> Kinds;
  };

  void onCall(const HttpRequestMessage &request,
              const std::shared_ptr<HttpReply> &reply);
  void answer(const std::shared_ptr<HttpReply> &reply, int status,
              const boost::json::object &body);
  void endPolls();
  void change(const std::string &kind, const std::string &name, bool isRemoved,
              const boost::json::value &spec);
  boost::json::object eventsAfter(const std::string &kind,
                                  std::uint64_t after) const;

  Address At;
  HttpListener CallListener;
  Contents Now;
  Contents Copy;
  std::uint64_t Timeline = 1;
  std::uint64_t HistoryAfter = 0; ///< The history holds what came later.
  std::vector<Change> History;
  std::vector<Poll> Polls;
  std::vector<std::shared_ptr<HttpReply>> Lost; ///< Never answered.
  Timer PollTimer;
  int Calls = 0;
  std::map<std::string, int> CallsByKind;
};

/// What a server does with a request.
struct FakeAnswer {
  std::string Bytes = {};    ///< The server sends them unchanged.
  bool Closes = false;       ///< Closes the connection after the bytes.
  bool Resets = false;       ///< Resets the connection after the bytes.
  bool SendsNothing = false; ///< Sends nothing, and keeps the connection open.
  bool IsPartial = false;    ///< The rest of the answer follows later.
  /// Before Bytes, sends those of the connection's last answer once more.
  bool CopiesLast = false;
  /// Sent again and again after Bytes until the other side closes the
  /// connection; empty: nothing.
  std::string Endless = {};
};

/// A server that sends scripted bytes as its answers.
class FakeServer {
public:
  using Script = std::function<FakeAnswer(const HttpRequestMessage &)>;

  /// Listens at \p at, or at a free address if it is empty.
  FakeServer(event_base *loop, std::string id, Script script,
             const Address &at = {});
  ~FakeServer();
  FakeServer(const FakeServer &) = delete;
  FakeServer &operator=(const FakeServer &) = delete;

  const std::string &id() const { return Id; }
  const Address &at() const { return At; }
  /// Returns the server's object in the store.
  boost::json::object entry(const std::string &service,
                            const std::string &state = "ready") const;
  std::uint64_t StartedMs = 0;  ///< In the server's object; 0: left out.
  std::string DataCentre = "z"; ///< In the server's object.

  std::vector<HttpRequestMessage> Requests;
  Script Respond;
  int Connections = 0;          ///< Connections accepted so far.
  int Closed = 0;               ///< Connections that the other side closed.
  std::size_t EndlessBytes = 0; ///< Bytes of endless answers that were sent.
  /// Number of the connection whose request a script is called for.
  std::size_t Answering = 0;

  /// Sends \p bytes on the newest connection.
  void sendMore(std::string_view bytes);
  /// Sends \p bytes on the first connection, unless that is closed.
  void sendMoreOnFirst(std::string_view bytes);
  /// Closes the newest connection; resets it if \p resets is set.
  void closeNewest(bool resets);
  /// Ends the server's side of the newest connection in order.
  void endNewest();
  /// Closes all connections; resets them if \p resets is set.
  void closeAll(bool resets);
  /// Calls \p rest for each request without its whole answer, after
  /// SendsNothing or IsPartial, and goes on as it says.
  void answerPending(const Script &rest);
  /// Accepts connections again after stopListening(). Throws if it can't.
  void listen();
  /// Answers each request once its head has come, and reads no more of its
  /// body: one of some megabytes is still being sent then. Precondition: no
  /// connection was accepted.
  void answerEarly();
  /// Refuses new connections from now on.
  void stopListening();

private:
  struct Connection;
  friend struct ServerCallbacks;

  event_base *Loop;
  std::string Id;
  Address At;
  bool AnswersEarly = false;
  evconnlistener *Listener = nullptr;
  std::vector<std::unique_ptr<Connection>> Open;
};

/// Starts \p process, an entry or a rank agent. Throws std::runtime_error with
/// the reason if it can't start.
template <class Process> void startOrThrow(Process &process) {
  std::string why = recoverFrom(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(process.start());
        return std::string();
      },
      [](const Error &e) { return "can't start: " + e.Message; });
  if (!why.empty())
    throw std::runtime_error(why);
}

/// An answer as the caller received it.
struct Reply {
  bool IsDone = false;
  ExchangeEnd End = ExchangeEnd::Broken;
  HttpHead Head;
  std::string Body;
};

/// A caller's request in progress.
struct Call {
  std::unique_ptr<HttpClientConnection> Connection;
  Reply Response;
};

/// Returns the bytes of a signed answer to \p request; \p moreFields are whole
/// header lines.
std::string signedAnswer(const HttpRequestMessage &request, int status,
                         const std::string &body,
                         const std::string &moreFields = "");
/// Returns the head of a signed event stream in chunked encoding.
std::string streamHead(const HttpRequestMessage &request);
/// Returns \p text as one chunk.
std::string chunk(const std::string &text);
/// Returns the event with \p id.
std::string eventText(int id);

/// A site with one entry and these routes: /draft/ (a resumable stream of the
/// service "helper"), /book/ (non-idempotent, at most once, of "ledger"),
/// /status/ (idempotent, of "ledger") and /open/ (idempotent and public, of
/// "ledger"). The API key "k1" belongs to the workspace "butchers".
struct SiteFixture {
  EventLoop Loop;
  zmq::context_t Context{1};
  FakeStore Objects{Loop.base()};
  DirectSettings Settings;
  std::unique_ptr<DirectEntry> Entry;
  std::vector<std::unique_ptr<FakeServer>> Servers;
  std::uint64_t NextId = 0;
  std::string CallerProtocol =
      "HTTP/1.1"; ///< Of the requests that send() sends.

  SiteFixture();

  /// Returns the configuration object with \p version.
  boost::json::object configuration(int version) const;
  /// Starts a server of \p service in \p dataCentre and adds it to the store.
  FakeServer &addServer(const std::string &service, FakeServer::Script script,
                        const std::string &dataCentre = "z");
  /// Starts the entry and waits until it is ready. Throws if it can't start.
  void startEntry();
  /// Runs the loop until \p done returns true. Returns false if that takes more
  /// than 5 s.
  bool runUntil(const std::function<bool()> &done);
  /// Runs the loop for \p time.
  void runFor(std::chrono::milliseconds time);
  /// Sends a request to the entry; \p fields are whole header lines.
  std::unique_ptr<Call> send(const std::string &method,
                             const std::string &target,
                             const std::string &fields = "X-Api-Key: k1\r\n",
                             const std::string &body = "");
  /// Sends a request as send() does and waits for its answer.
  Reply sendAndWait(const std::string &method, const std::string &target,
                    const std::string &fields = "X-Api-Key: k1\r\n",
                    const std::string &body = "");
  /// Sends a GET request to \p address, another address of the entry, and waits
  /// for its answer for up to 2 s.
  Reply getFrom(const Address &address, const std::string &target);
};

} // namespace greengagespar::site

#endif // GREENGAGESPAR_DIRECT_SITE_TEST_H
