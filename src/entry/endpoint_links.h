/// \file
/// The entry's links to endpoint processes: one for each server, with its
/// liveness and the endpoint process's current incarnation. Not thread safe:
/// used from the loop's thread only.
#ifndef GREENGAGESPAR_ENTRY_ENDPOINT_LINKS_H
#define GREENGAGESPAR_ENTRY_ENDPOINT_LINKS_H

#include "greengagespar/contract/contract.h"
#include "greengagespar/host/member.h"
#include "greengagespar/link/link.h"
#include "greengagespar/link/liveness.h"
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace greengagespar {

/// Events that the links report to their owner.
struct EndpointLinkEvents {
  /// A message about a call arrived from the current incarnation.
  std::function<void(const ServerId &, const wire::Envelope &)> OnMessage;
  /// A load report arrived.
  std::function<void(const ServerId &, const wire::Load &)> OnLoad;
  /// An unresponsive endpoint process answers again, in the same incarnation:
  /// calls sent to it must be resumed.
  std::function<void(const ServerId &)> OnRestored;
  /// The endpoint process can't be reached, or a new incarnation of it started:
  /// calls sent to \p peerIncarnation must be resolved without it.
  std::function<void(const ServerId &, Incarnation peerIncarnation)> OnLost;
};

/// Functions by which endpoint processes and this entry exchange settings.
struct SettingsExchange {
  /// Called when a message of the endpoint process at \p peer carried \p at,
  /// the generation that it has in force.
  std::function<void(const Address &peer, Generation at)> OnGeneration;
  /// Returns the settings newer than \p since, for an endpoint process that
  /// requests them.
  std::function<std::string(Generation since)> Serve;
};

/// A link to the endpoint process of one server.
struct EndpointLink {
  ServerId Server;
  DataCentreId DataCentre;
  HostId Host;         ///< The name that the endpoint process sends.
  Generation Settings; ///< The generation that it has in force.
  std::unique_ptr<LinkClient> Client;
  Liveness State;
  /// The endpoint process's incarnation; empty until its first message.
  std::optional<Incarnation> PeerIncarnation;
  std::uint64_t ProbeNumber = 0;
  Clock::time_point ProbeSentAt;
  std::chrono::microseconds RoundTrip{0}; ///< Of the last answered probe.
  int CallsOpen = 0; ///< Calls in flight, as counted by the owner.
  /// The settings no longer declare the server. The link is closed after its
  /// last call has ended.
  bool IsRetired = false;
};

/// All links of an entry to endpoint processes.
class EndpointLinks {
public:
  /// Precondition: \p base, \p context and \p self outlive this object.
  EndpointLinks(event_base *base, zmq::context_t &context,
                const LinkIdentity &self, EndpointLinkEvents events);

  /// Sets how settings are exchanged. No settings are exchanged before this
  /// call.
  void setExchange(SettingsExchange exchange);

  /// Returns the endpoint processes whose links are up, without retired links.
  std::vector<MemberRow> rows() const;

  /// Opens and retires links so that there is one to each of \p servers. A link
  /// whose server has a new address is replaced.
  void setServers(const std::vector<Server> &servers);

  /// Sends \p envelope to \p server. Returns false when it was not sent and
  /// will not be sent later.
  bool send(const ServerId &server, wire::Envelope &envelope);

  /// Returns the current incarnation of the endpoint process of \p server;
  /// empty unless its link is up.
  std::optional<Incarnation> incarnationOf(const ServerId &server) const;

  /// Returns the link of \p server; null when there is none.
  EndpointLink *find(const ServerId &server);

  /// Probes and reopens links, and declares endpoint processes lost. Call it
  /// every few milliseconds, and not from one of the events.
  void tick();

private:
  void onEnvelope(const ServerId &server, const wire::Envelope &envelope);
  void exchangeSettings(EndpointLink &link, const wire::Envelope &envelope);
  void probe(EndpointLink &link);

  event_base *Base;
  zmq::context_t &Context;
  const LinkIdentity &Self;
  EndpointLinkEvents Events;
  SettingsExchange Exchange;
  std::unordered_map<ServerId, EndpointLink> Links;
  /// Links whose server has a new address, until the next tick() closes them.
  std::vector<EndpointLink> ReplacedLinks;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_ENTRY_ENDPOINT_LINKS_H
