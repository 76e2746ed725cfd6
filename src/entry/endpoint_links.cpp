#include "endpoint_links.h"

#include "greengagespar/base/log.h"
#include <utility>

namespace greengagespar {

EndpointLinks::EndpointLinks(event_base *base, zmq::context_t &context,
                             const LinkIdentity &self,
                             EndpointLinkEvents events)
    : Base(base), Context(context), Self(self), Events(std::move(events)) {}

void EndpointLinks::setServers(const std::vector<Server> &servers) {
  std::unordered_map<ServerId, Server> wanted;
  for (const Server &it : servers)
    wanted[it.Id] = it;
  for (auto &[server, link] : Links) {
    auto found = wanted.find(server);
    link.IsRetired = found == wanted.end();
    if (link.IsRetired)
      continue;
    // A replaced link is closed later, because this function may run while a
    // message of that link is being handled.
    if (found->second.Endpoint != link.Client->address())
      ReplacedLinks.push_back(std::exchange(link, {}));
    else
      wanted.erase(found);
  }
  for (const auto &[server, declared] : wanted) {
    EndpointLink &link = Links[server];
    link.Server = server;
    link.DataCentre = declared.DataCentre;
    link.IsRetired = false;
    link.Client = std::make_unique<LinkClient>(
        Base, Context, Self, declared.Endpoint,
        [this, id = server](const wire::Envelope &envelope) {
          onEnvelope(id, envelope);
        });
  }
}

EndpointLink *EndpointLinks::find(const ServerId &server) {
  auto it = Links.find(server);
  return it == Links.end() ? nullptr : &it->second;
}

std::optional<Incarnation>
EndpointLinks::incarnationOf(const ServerId &server) const {
  auto it = Links.find(server);
  if (it == Links.end() || it->second.State.Phase != LinkPhase::Up)
    return std::nullopt;
  return it->second.PeerIncarnation;
}

bool EndpointLinks::send(const ServerId &server, wire::Envelope &envelope) {
  EndpointLink *link = find(server);
  if (!link)
    return false;
  if (link->Client->send(envelope))
    return true;
  recordNoConnection(link->State, Clock::now());
  return false;
}

void EndpointLinks::probe(EndpointLink &link) {
  wire::Envelope envelope;
  envelope.mutable_probe()->set_number(++link.ProbeNumber);
  link.ProbeSentAt = Clock::now();
  if (!link.Client->send(envelope))
    recordNoConnection(link.State, Clock::now());
}

void EndpointLinks::tick() {
  auto now = Clock::now();
  std::vector<EndpointLink> closing = std::move(ReplacedLinks);
  ReplacedLinks.clear();
  for (const EndpointLink &it : closing)
    if (it.PeerIncarnation)
      Events.OnLost(it.Server, *it.PeerIncarnation);
  std::erase_if(Links, [](const auto &it) {
    return it.second.IsRetired && it.second.CallsOpen == 0;
  });
  std::vector<ServerId> lost;
  for (auto &[server, link] : Links) {
    switch (decideLink(link.State, {}, link.CallsOpen > 0, now)) {
    case LinkStep::Nothing:
      break;
    case LinkStep::Reopen:
      link.Client->reopen();
      probe(link);
      break;
    case LinkStep::Probe:
      probe(link);
      break;
    case LinkStep::DeclareLost:
      lost.push_back(server);
      break;
    }
  }
  for (const ServerId &it : lost) {
    EndpointLink &link = Links[it];
    logInfo(Part::Link, "endpoint process of server " + it.Value + " is lost");
    if (link.PeerIncarnation)
      Events.OnLost(it, *link.PeerIncarnation);
  }
}

void EndpointLinks::setExchange(SettingsExchange exchange) {
  Exchange = std::move(exchange);
}

std::vector<MemberRow> EndpointLinks::rows() const {
  std::vector<MemberRow> rows;
  for (const auto &[server, link] : Links) {
    if (link.State.Phase != LinkPhase::Up || !link.PeerIncarnation ||
        link.IsRetired)
      continue;
    MemberRow row;
    row.Host = link.Host;
    row.Role = MemberRole::Endpoint;
    row.Link = link.Client->address();
    row.DataCentre = link.DataCentre;
    row.ProcessIncarnation = *link.PeerIncarnation;
    row.Settings = link.Settings;
    rows.push_back(std::move(row));
  }
  return rows;
}

void EndpointLinks::exchangeSettings(EndpointLink &link,
                                     const wire::Envelope &envelope) {
  link.Host = {envelope.sender()};
  link.Settings = {envelope.generation()};
  if (Exchange.OnGeneration)
    Exchange.OnGeneration(link.Client->address(), link.Settings);
  if (!envelope.has_pull_settings() || !Exchange.Serve)
    return;
  wire::Envelope answer;
  answer.mutable_settings()->set_generation(Self.Settings.Value);
  answer.mutable_settings()->set_snapshot(
      Exchange.Serve({envelope.pull_settings().newer_than()}));
  link.Client->send(answer);
}

void EndpointLinks::onEnvelope(const ServerId &server,
                               const wire::Envelope &envelope) {
  EndpointLink *link = find(server);
  if (!link)
    return;
  if (envelope.has_probe_answer() &&
      envelope.probe_answer().server() != server.Value)
    return;
  bool wasDown = recordReceived(link->State, Clock::now());
  Incarnation peerIncarnation{envelope.incarnation()};
  if (link->PeerIncarnation && *link->PeerIncarnation != peerIncarnation) {
    Incarnation old = *link->PeerIncarnation;
    link->PeerIncarnation = peerIncarnation;
    logInfo(Part::Link, "server " + server.Value + " has a new process");
    Events.OnLost(server, old);
  } else if (wasDown && link->PeerIncarnation) {
    Events.OnRestored(server);
  }
  link->PeerIncarnation = peerIncarnation;
  exchangeSettings(*link, envelope);
  if (!envelope.has_probe_answer())
    return Events.OnMessage(server, envelope);
  if (envelope.probe_answer().number() == link->ProbeNumber)
    link->RoundTrip = std::chrono::duration_cast<std::chrono::microseconds>(
        Clock::now() - link->ProbeSentAt);
  Events.OnLoad(server, envelope.probe_answer().load());
}

} // namespace greengagespar
