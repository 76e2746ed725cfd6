/// \file
/// The entry's links to endpoint processes: one for each server, with its
/// liveness and the endpoint process's present life. Not thread safe: used
/// from the loop's thread only.
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

/// What the owner of the links is told.
struct EndpointLinkEvents {
  /// A message about a call, from the server's present life.
  std::function<void(const ServerId &, const wire::Envelope &)> OnMessage;
  /// A load report.
  std::function<void(const ServerId &, const wire::Load &)> OnLoad;
  /// The link answers again after silence, in the same life: calls on it must
  /// be resumed.
  std::function<void(const ServerId &)> OnRestored;
  /// The endpoint process can't be reached, or another life of it began: calls
  /// sent to \p life must be settled without it.
  std::function<void(const ServerId &, Incarnation life)> OnLost;
};

/// How endpoint processes and this entry pass settings on.
struct SettingsExchange {
  /// A message of the endpoint process at \p peer carried its generation.
  std::function<void(const Address &peer, Generation at)> OnMentioned;
  /// The settings newer than a generation, for an endpoint that asks.
  std::function<std::string(Generation since)> Serve;
};

/// One link.
struct EndpointLink {
  ServerId Server;
  DataCentreId DataCentre;
  HostId Host;         ///< As the endpoint process names itself.
  Generation Settings; ///< The settings that it has in force.
  std::unique_ptr<LinkClient> Client;
  Liveness State;
  std::optional<Incarnation> Life;
  std::uint64_t ProbeNumber = 0;
  Clock::time_point ProbeSentAt;
  std::chrono::microseconds RoundTrip{0}; ///< Of the latest answered probe.
  int CallsOpen = 0;                      ///< Kept by the owner.
  bool IsRetired = false; ///< No longer declared; closed after its last call.
};

/// All links of an entry to endpoint processes.
class EndpointLinks {
public:
  /// Precondition: all arguments outlive this object.
  EndpointLinks(event_base *base, zmq::context_t &context,
                const LinkIdentity &self, EndpointLinkEvents events);

  /// Passes settings on. Until it is called none are.
  void setExchange(SettingsExchange exchange);

  /// The endpoint processes whose links are up.
  std::vector<MemberRow> rows() const;

  /// Opens and closes links so that there is one to each of \p servers.
  void setServers(const std::vector<Server> &servers);

  /// Sends \p envelope to \p server. Returns false when it was not sent and
  /// never will be.
  bool send(const ServerId &server, wire::Envelope &envelope);

  /// The present life of a server's endpoint process when its link is up.
  std::optional<Incarnation> lifeOf(const ServerId &server) const;

  /// The link of \p server; null when there is none.
  EndpointLink *find(const ServerId &server);

  /// Probes, reopens and gives up links. Call it every few milliseconds, and
  /// not from one of the events.
  void tick();

private:
  void onEnvelope(const ServerId &server, const wire::Envelope &envelope);
  void exchange(EndpointLink &link, const wire::Envelope &envelope);
  void probe(EndpointLink &link);

  event_base *Base;
  zmq::context_t &Context;
  const LinkIdentity &Self;
  EndpointLinkEvents Events;
  SettingsExchange Exchange;
  std::unordered_map<ServerId, EndpointLink> Links;
  std::vector<EndpointLink> Closing;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_ENTRY_ENDPOINT_LINKS_H
