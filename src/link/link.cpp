#include "greengagespar/link/link.h"

#include "greengagespar/base/clock.h"
#include <cerrno>
#include <event2/event.h>
#include <thread>
#include <utility>
#include <vector>

namespace greengagespar {

namespace {

// A pump handles at most this many messages before other events of the loop
// have their turn.
constexpr int MaxMessagesPerTurn = 256;

// Length of the queues of one socket for one peer, in messages.
constexpr int QueueLength = 4096;

// One part more than any valid message has, so that a message with too many
// parts is still recognized.
constexpr std::size_t MaxParts = 3;

// Interval at which ZeroMQ tries to reconnect: its first and its highest value.
constexpr int ReconnectMs = 20;
constexpr int MaxReconnectMs = 200;

// ZeroMQ closes the listening socket of a destroyed server in a thread of its
// own. An address in use is tried again at this interval, for so long.
constexpr std::chrono::milliseconds BindRetryInterval{10};
constexpr std::chrono::milliseconds BindRetryTime{1000};

void setCommonOptions(zmq::socket_t &socket) {
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::sndhwm, QueueLength);
  socket.set(zmq::sockopt::rcvhwm, QueueLength);
  socket.set(zmq::sockopt::maxmsgsize, MaxLinkMessage);
}

void setSender(wire::Envelope &envelope, const LinkIdentity &self) {
  envelope.set_version(LinkVersion);
  envelope.set_sender(self.Name.Value);
  envelope.set_incarnation(self.ProcessIncarnation.Value);
  envelope.set_generation(self.Settings.Value);
}

zmq::message_t serialise(const wire::Envelope &envelope) {
  zmq::message_t msg(envelope.ByteSizeLong());
  envelope.SerializeToArray(msg.data(), static_cast<int>(msg.size()));
  return msg;
}

// Returns all parts of the next message, or nothing when there is none. The
// parts of a message arrive together. Parts beyond MaxParts are discarded.
std::vector<zmq::message_t> receiveParts(zmq::socket_t &socket) {
  std::vector<zmq::message_t> parts;
  bool isLast = false;
  while (!isLast) {
    zmq::message_t part;
    if (!socket.recv(part, zmq::recv_flags::dontwait))
      break;
    isLast = !part.more();
    if (parts.size() < MaxParts)
      parts.push_back(std::move(part));
  }
  return parts;
}

bool parse(const zmq::message_t &msg, wire::Envelope &envelope) {
  return envelope.ParseFromArray(msg.data(), static_cast<int>(msg.size())) &&
         envelope.version() == LinkVersion &&
         envelope.body_case() != wire::Envelope::BODY_NOT_SET;
}

} // namespace

namespace detail {

SocketPump::SocketPump(event_base *base, zmq::socket_t &socket,
                       std::function<bool()> receiveOne)
    : ReceiveOne(std::move(receiveOne)) {
  int fd = socket.get(zmq::sockopt::fd);
  ReadEvent = event_new(base, fd, EV_READ | EV_PERSIST, onReady, this);
  WakeEvent = event_new(base, -1, 0, onReady, this);
  event_add(ReadEvent, nullptr);
}

SocketPump::~SocketPump() {
  event_free(ReadEvent);
  event_free(WakeEvent);
}

void SocketPump::wake() { event_active(WakeEvent, EV_TIMEOUT, 0); }

void SocketPump::onReady(int, short, void *self) {
  static_cast<SocketPump *>(self)->drain();
}

void SocketPump::drain() {
  for (int n = 0; n < MaxMessagesPerTurn; ++n)
    if (!ReceiveOne())
      return;
  wake();
}

} // namespace detail

LinkServer::LinkServer(event_base *base, zmq::context_t &context,
                       const LinkIdentity &self, Handler handler)
    : Self(self), OnMessage(std::move(handler)),
      Socket(context, zmq::socket_type::router),
      Pump(base, Socket, [this] { return receiveOne(); }) {
  setCommonOptions(Socket);
  Socket.set(zmq::sockopt::router_mandatory, true);
}

Result<void> LinkServer::bind(const Address &address) {
  auto end = Clock::now() + BindRetryTime;
  int error = tryBind(address);
  while (error == EADDRINUSE && Clock::now() < end) {
    std::this_thread::sleep_for(BindRetryInterval);
    error = tryBind(address);
  }
  if (error != 0)
    return fail(ErrorKind::LinkDown, "cannot listen on " + address.Value +
                                         ": " + zmq_strerror(error));
  Pump.wake();
  return {};
}

// Returns the number of the error; 0: the server listens.
int LinkServer::tryBind(const Address &address) {
  try {
    Socket.bind("tcp://" + address.Value);
  } catch (const zmq::error_t &e) {
    return e.num();
  }
  return 0;
}

bool LinkServer::send(const PeerId &peer, wire::Envelope &envelope) {
  setSender(envelope, Self);
  zmq::message_t to(peer.Value);
  zmq::message_t msg = serialise(envelope);
  bool sent = false;
  try {
    sent = Socket.send(to, zmq::send_flags::sndmore | zmq::send_flags::dontwait)
               .has_value() &&
           Socket.send(msg, zmq::send_flags::dontwait).has_value();
  } catch (const zmq::error_t &) {
    sent = false;
  }
  Pump.wake();
  ++(sent ? Counts.Sent : Counts.Dropped);
  return sent;
}

bool LinkServer::receiveOne() {
  std::vector<zmq::message_t> parts = receiveParts(Socket);
  if (parts.empty())
    return false;
  wire::Envelope envelope;
  // The first part is the routing id, the second one the envelope.
  if (parts.size() != 2 || !parse(parts[1], envelope)) {
    ++Counts.Malformed;
    return true;
  }
  ++Counts.Received;
  OnMessage(PeerId{parts[0].to_string()}, envelope);
  return true;
}

LinkClient::LinkClient(event_base *base, zmq::context_t &context,
                       const LinkIdentity &self, Address address,
                       Handler handler)
    : Base(base), Context(context), Self(self), Remote(std::move(address)),
      OnMessage(std::move(handler)) {
  open();
}

void LinkClient::open() {
  Socket = zmq::socket_t(Context, zmq::socket_type::dealer);
  setCommonOptions(Socket);
  Socket.set(zmq::sockopt::immediate, true);
  Socket.set(zmq::sockopt::reconnect_ivl, ReconnectMs);
  Socket.set(zmq::sockopt::reconnect_ivl_max, MaxReconnectMs);
  Socket.connect("tcp://" + Remote.Value);
  Pump = std::make_unique<detail::SocketPump>(Base, Socket,
                                              [this] { return receiveOne(); });
  Pump->wake();
}

void LinkClient::reopen() {
  Pump.reset();
  Socket.close();
  open();
}

bool LinkClient::send(wire::Envelope &envelope) {
  setSender(envelope, Self);
  zmq::message_t msg = serialise(envelope);
  bool sent = Socket.send(msg, zmq::send_flags::dontwait).has_value();
  Pump->wake();
  ++(sent ? Counts.Sent : Counts.Dropped);
  return sent;
}

bool LinkClient::receiveOne() {
  std::vector<zmq::message_t> parts = receiveParts(Socket);
  if (parts.empty())
    return false;
  wire::Envelope envelope;
  if (parts.size() != 1 || !parse(parts[0], envelope)) {
    ++Counts.Malformed;
    return true;
  }
  ++Counts.Received;
  OnMessage(envelope);
  return true;
}

} // namespace greengagespar
