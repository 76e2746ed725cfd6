/// \file
/// Links between the system's processes: ZeroMQ sockets on a libevent loop
/// that carry protobuf envelopes. A process has one LinkServer, which others
/// connect to, and one LinkClient for each process it calls. Not thread safe:
/// all calls are made from the loop's thread. ZeroMQ's own I/O thread never
/// runs code of this project.
#ifndef GREENGAGESPAR_LINK_LINK_H
#define GREENGAGESPAR_LINK_LINK_H

#include "greengagespar/base/errors.h"
#include "greengagespar/base/ids.h"
#include "greengagespar/link/link.pb.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <zmq.hpp>

struct event;
struct event_base;

namespace greengagespar {

/// Version of the messages. It is raised when they change in a way that old
/// receivers can't read; a receiver discards messages of any other version.
inline constexpr std::uint32_t LinkVersion = 1;

/// Size limit of a message in bytes; the receiver discards larger ones.
inline constexpr std::int64_t MaxLinkMessage = 24 << 20;

/// The sender's fields of every envelope. A link reads them at each send, so
/// the owner may change them.
struct LinkIdentity {
  HostId Name;
  Incarnation ProcessIncarnation; ///< Of the sending process.
  Generation Settings; ///< In force at the sender; the owner updates it.
};

/// The connection over which a LinkServer sends an answer: a ZeroMQ routing id.
using PeerId = TextId<struct PeerTag>;

/// Counters of the messages of one socket.
struct LinkCounts {
  std::uint64_t Received = 0;
  std::uint64_t Sent = 0;
  std::uint64_t Malformed = 0; ///< Received, but no envelope of LinkVersion.
  std::uint64_t Dropped = 0;   ///< Not sent: no connection or a full queue.
};

namespace detail {

/// Reads one socket from the event loop. ZMQ_FD is edge-triggered, so the pump
/// reads the socket until it is empty each time that it becomes readable and
/// after each send.
class SocketPump {
public:
  /// \p receiveOne handles one message and returns false when there is none.
  SocketPump(event_base *base, zmq::socket_t &socket,
             std::function<bool()> receiveOne);
  ~SocketPump();
  SocketPump(const SocketPump &) = delete;
  SocketPump &operator=(const SocketPump &) = delete;

  /// Reads the socket again on the next turn of the loop.
  void wake();

private:
  static void onReady(int, short, void *self);
  void drain();

  std::function<bool()> ReceiveOne;
  event *ReadEvent = nullptr;
  event *WakeEvent = nullptr;
};

} // namespace detail

/// The listening side of a process's links.
class LinkServer {
public:
  using Handler = std::function<void(const PeerId &, const wire::Envelope &)>;

  /// Precondition: \p base, \p context and \p self outlive the server.
  LinkServer(event_base *base, zmq::context_t &context,
             const LinkIdentity &self, Handler handler);

  /// Listens on \p address. Tries an address in use again for up to 1 s, as
  /// the socket of a server that was destroyed may not be closed yet, and
  /// blocks the thread for that time. Fails with LinkDown and the reason when
  /// the address can't be bound.
  Result<void> bind(const Address &address);

  /// Sends \p envelope to \p peer. Returns false and discards it when the peer
  /// has disconnected or its queue is full.
  bool send(const PeerId &peer, wire::Envelope &envelope);

  const LinkCounts &counts() const { return Counts; }

private:
  int tryBind(const Address &address);
  bool receiveOne();

  const LinkIdentity &Self;
  Handler OnMessage;
  zmq::socket_t Socket;
  LinkCounts Counts;
  detail::SocketPump Pump;
};

/// The connecting side of one link.
class LinkClient {
public:
  using Handler = std::function<void(const wire::Envelope &)>;

  /// Starts to connect to \p address in the background.
  /// Precondition: \p base, \p context and \p self outlive the client.
  LinkClient(event_base *base, zmq::context_t &context,
             const LinkIdentity &self, Address address, Handler handler);

  /// Sends \p envelope. Returns false and discards it when there is no
  /// connection or the queue is full.
  bool send(wire::Envelope &envelope);

  /// Closes the connection, discards the messages queued on it and opens a new
  /// one. Messages that the old connection has sent but the peer has not read
  /// yet may still reach the peer.
  void reopen();

  const Address &address() const { return Remote; }
  const LinkCounts &counts() const { return Counts; }

private:
  void open();
  bool receiveOne();

  event_base *Base;
  zmq::context_t &Context;
  const LinkIdentity &Self;
  Address Remote;
  Handler OnMessage;
  LinkCounts Counts;
  zmq::socket_t Socket;
  std::unique_ptr<detail::SocketPump> Pump;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_LINK_LINK_H
