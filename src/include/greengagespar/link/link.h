/// \file
/// Links between the system's processes: ZeroMQ sockets on a libevent loop
/// that carry protobuf envelopes. A process has one LinkServer, which others
/// connect to, and one LinkClient for each process it calls. Not thread safe:
/// everything is used from the loop's thread. ZeroMQ's own I/O thread never
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

/// Raised when messages change in a way that old receivers can't read.
inline constexpr std::uint32_t LinkVersion = 1;

/// Larger messages are dropped by the receiver, in bytes.
inline constexpr std::int64_t MaxLinkMessage = 24 << 20;

/// What every envelope says of its sender.
struct LinkIdentity {
  HostId Name;
  Incarnation Life;
  Generation Settings; ///< Kept up to date by the owner.
};

/// Where a LinkServer sends an answer: a ZeroMQ routing id.
using PeerId = TextId<struct PeerTag>;

/// Counters of one socket.
struct LinkCounts {
  std::uint64_t Received = 0;
  std::uint64_t Sent = 0;
  std::uint64_t Malformed = 0; ///< Dropped: not an envelope of this version.
  std::uint64_t Dropped = 0;   ///< Not sent: peer gone or its queue full.
};

namespace detail {

/// Drains one socket from the event loop. ZMQ_FD is edge-triggered, so the
/// socket is read until it is empty after each wake and after each send.
class SocketPump {
public:
  SocketPump(event_base *base, zmq::socket_t &socket,
             std::function<bool()> receiveOne);
  ~SocketPump();
  SocketPump(const SocketPump &) = delete;
  SocketPump &operator=(const SocketPump &) = delete;

  /// Looks for messages again on the next turn of the loop.
  void wake();

private:
  static void onReady(int, short, void *self);
  void drain();

  std::function<bool()> ReceiveOne;
  event *Readable = nullptr;
  event *Again = nullptr;
};

} // namespace detail

/// The listening side of a process's links.
class LinkServer {
public:
  using Handler = std::function<void(const PeerId &, const wire::Envelope &)>;

  /// Precondition: \p base, \p context and \p self outlive the server.
  LinkServer(event_base *base, zmq::context_t &context,
             const LinkIdentity &self, Handler handler);

  /// Listens on \p address. Fails with LinkDown when it can't be bound.
  Result<void> bind(const Address &address);

  /// Sends \p body's envelope to \p peer. Returns false, and drops it, when the
  /// peer is gone or its queue is full.
  bool send(const PeerId &peer, wire::Envelope &envelope);

  const LinkCounts &counts() const { return Counts; }

private:
  bool receiveOne();

  const LinkIdentity &Self;
  Handler Handle;
  zmq::socket_t Socket;
  LinkCounts Counts;
  detail::SocketPump Pump;
};

/// The connecting side of one link.
class LinkClient {
public:
  using Handler = std::function<void(const wire::Envelope &)>;

  /// Connects to \p address in the background.
  /// Precondition: \p base, \p context and \p self outlive the client.
  LinkClient(event_base *base, zmq::context_t &context,
             const LinkIdentity &self, Address address, Handler handler);

  /// Sends an envelope. Returns false when it was not sent and never will be:
  /// there is no connection, or the queue is full.
  bool send(wire::Envelope &envelope);

  /// Drops the connection with all that waits in it and opens a fresh one.
  /// Messages on the old connection that the peer has not read yet may still
  /// reach it.
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
  Handler Handle;
  LinkCounts Counts;
  zmq::socket_t Socket;
  std::unique_ptr<detail::SocketPump> Pump;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_LINK_LINK_H
