/// \file
/// Stand-ins of the users' platform on the loop of a test: its store, servers
/// that answer as a script says, and callers. Not thread safe.
#ifndef GREENGAGESPAR_DIRECT_SITE_TEST_H
#define GREENGAGESPAR_DIRECT_SITE_TEST_H

#include "greengagespar/base/event_loop.h"
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

/// Returns a free address of this host.
Address freeAddress();

/// The platform's store: objects by kind and name, and long polls.
class FakeStore {
public:
  explicit FakeStore(event_base *loop);

  /// Writes an object and answers the polls that wait for it.
  void put(const std::string &kind, const std::string &name,
           const boost::json::value &spec);
  void remove(const std::string &kind, const std::string &name);

  /// While set, every call is answered with 503.
  bool TurnsAway = false;
  const Address &at() const { return At; }
  int calls() const { return Calls; }

private:
  struct Entry {
    std::uint64_t Revision = 0;
    boost::json::value Spec;
  };
  struct Poll {
    std::string Kind;
    std::uint64_t After = 0;
    std::shared_ptr<HttpReply> Reply;
  };
  struct Change {
    std::uint64_t Revision = 0;
    std::string Kind;
    std::string Name;
    bool IsRemoved = false;
    boost::json::value Spec;
  };

  void onCall(const HttpRequestMessage &request,
              const std::shared_ptr<HttpReply> &reply);
  void change(const std::string &kind, const std::string &name, bool isRemoved,
              const boost::json::value &spec);
  boost::json::object eventsAfter(const std::string &kind,
                                  std::uint64_t after) const;

  Address At;
  HttpEdge Edge;
  std::uint64_t Revision = 1;
  std::map<std::string, std::map<std::string, Entry>> Kinds;
  std::vector<Change> History;
  std::vector<Poll> Polls;
  int Calls = 0;
};

/// What a server does with a request.
struct FakeAnswer {
  std::string Bytes = {};   ///< Sent as they are.
  bool Closes = false;      ///< Closes the connection after them.
  bool Resets = false;      ///< Resets it after them.
  bool StaysSilent = false; ///< Sends nothing and keeps the connection.
};

/// A server whose answers are bytes.
class FakeServer {
public:
  using Script = std::function<FakeAnswer(const HttpRequestMessage &)>;

  FakeServer(event_base *loop, std::string id, Script script);
  ~FakeServer();
  FakeServer(const FakeServer &) = delete;
  FakeServer &operator=(const FakeServer &) = delete;

  const std::string &id() const { return Id; }
  const Address &at() const { return At; }
  /// The entry that the server writes to the store.
  boost::json::object entry(const std::string &service,
                            const std::string &state = "ready") const;

  std::vector<HttpRequestMessage> Seen;
  Script Does;
  int Connections = 0; ///< Accepted so far.
  int Closed = 0;      ///< Closed by the other side.

  /// Sends more on the newest connection.
  void sendMore(std::string_view bytes);
  /// Ends the newest connection.
  void closeNewest(bool resets);

private:
  struct Connection;
  friend struct ServerCallbacks;

  event_base *Loop;
  std::string Id;
  Address At;
  evconnlistener *Listener = nullptr;
  std::vector<std::unique_ptr<Connection>> Open;
};

/// An answer as the caller got it.
struct Reply {
  bool IsDone = false;
  ExchangeEnd End = ExchangeEnd::Broken;
  HttpHead Head;
  std::string Body;
};

/// A caller's request in progress.
struct Call {
  std::unique_ptr<HttpClientConnection> Connection;
  Reply Got;
};

/// The bytes of a signed answer to \p request.
std::string signedAnswer(const HttpRequestMessage &request, int status,
                         const std::string &body,
                         const std::string &moreFields = "");
/// The head of a signed stream in chunks, and a chunk.
std::string streamHead(const HttpRequestMessage &request);
std::string chunk(const std::string &text);
/// The event with \p id.
std::string eventText(int id);

/// A site with one entry, started. Routes: /draft/ a resumable stream of
/// "helper", /book/ at most once of "ledger", /status/ idempotent of "ledger",
/// /open/ idempotent and public of "ledger". The key "k1" is of "butchers".
struct SiteFixture {
  EventLoop Loop;
  zmq::context_t Context{1};
  FakeStore Objects{Loop.base()};
  DirectSettings Settings;
  std::unique_ptr<DirectEntry> Entry;
  std::vector<std::unique_ptr<FakeServer>> Servers;
  std::uint64_t NextId = 0;

  SiteFixture();

  /// The configuration at \p version.
  boost::json::object configuration(int version) const;
  /// Adds a server to the store.
  FakeServer &addServer(const std::string &service, FakeServer::Script script);
  /// Starts the entry and waits until it is ready.
  void startEntry();
  /// Runs the loop until \p done holds; false when it takes 5 s.
  bool runUntil(const std::function<bool()> &done);
  /// Runs the loop for \p time.
  void runFor(std::chrono::milliseconds time);
  /// Sends a request; \p fields are whole lines.
  std::unique_ptr<Call> send(const std::string &method,
                             const std::string &target,
                             const std::string &fields = "X-Api-Key: k1\r\n",
                             const std::string &body = "");
  /// The same, and waits for its answer.
  Reply ask(const std::string &method, const std::string &target,
            const std::string &fields = "X-Api-Key: k1\r\n",
            const std::string &body = "");
  /// Asks one of the entry's other addresses.
  Reply askAt(const Address &address, const std::string &target);
};

} // namespace greengagespar::site

#endif // GREENGAGESPAR_DIRECT_SITE_TEST_H
