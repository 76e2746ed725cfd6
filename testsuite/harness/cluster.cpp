#include "cluster.h"

#include "greengagespar/load/calls.h"
#include <stdexcept>
#include <thread>
#include <utility>

namespace greengagespar::harness {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds StartTimeout{15000};
constexpr std::size_t DiagnosisBytes = 1500; // per process
constexpr const char *EntryProgram = "greengagespar-entry";

std::string loopbackAddress(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

void require(bool ok, const std::string &message) {
  if (!ok)
    throw std::runtime_error(message);
}

} // namespace

Cluster::Cluster(ClusterPlan plan) : Plan(std::move(plan)) {
  addStandin("platform", "standin-platform", Plan.PlatformArgs);
  const auto &centres = Plan.DataCentres;
  for (int i = 0; i < Plan.EntriesPerDataCentre; ++i)
    for (std::size_t n = 0; n < centres.size(); ++n)
      addEntry("entry-" + std::to_string(i * centres.size() + n + 1),
               centres[n]);
  for (int i = 0; i < Plan.Helpers; ++i) {
    std::string name = "helper-" + std::to_string(i + 1);
    std::vector<std::string> args = {
        "--slots", std::to_string(Plan.HelperSlots), "--model", Plan.Group};
    args.insert(args.end(), Plan.EngineArgs.begin(), Plan.EngineArgs.end());
    addStandin(name + "-engine", "standin-engine", args);
    addEndpoint(name, centres[i % centres.size()], name + "-engine", "engine");
  }
  for (int i = 0; i < Plan.Ledgers; ++i) {
    std::string name = "ledger-" + std::to_string(i + 1);
    addStandin(name + "-service", "standin-service", Plan.LedgerArgs);
    addEndpoint(name, centres[i % centres.size()], name + "-service",
                "service");
  }
}

void Cluster::addStandin(const std::string &name, const std::string &program,
                         const std::vector<std::string> &args) {
  Node node;
  node.Program = program;
  node.Port = freePort();
  node.Args = {"--port", std::to_string(node.Port)};
  node.Args.insert(node.Args.end(), args.begin(), args.end());
  Nodes[name] = std::move(node);
}

void Cluster::addEntry(const std::string &name, const std::string &dataCentre) {
  Node node;
  node.Program = EntryProgram;
  node.DataCentre = dataCentre;
  node.Port = freePort();
  node.LinkPort = freePort();
  boost::json::object settings = Plan.EntrySettings;
  settings["listen"] = loopbackAddress(node.Port);
  settings["advertise"] = loopbackAddress(node.Port);
  addProgram(name, std::move(node), std::move(settings));
}

void Cluster::addEndpoint(const std::string &name,
                          const std::string &dataCentre,
                          const std::string &upstream,
                          const std::string &kind) {
  Node node;
  node.Program = "greengagespar-endpoint";
  node.DataCentre = dataCentre;
  node.Port = freePort();
  node.LinkPort = node.Port;
  boost::json::object settings = Plan.EndpointSettings;
  settings["server"] = name;
  settings["upstream"] = upstream;
  settings["upstream_kind"] = kind;
  addProgram(name, std::move(node), std::move(settings));
}

void Cluster::addProgram(const std::string &name, Node node,
                         boost::json::object settings) {
  std::filesystem::path file = Dir.path() / (name + ".json");
  settings["name"] = name;
  settings["data_centre"] = node.DataCentre;
  settings["link"] = loopbackAddress(node.LinkPort);
  node.Args = {"--settings", file.string(), "--log-format", "json"};
  Nodes[name] = std::move(node);
  Settings[name] = std::move(settings);
}

int Cluster::connectPort(const std::string &name) const {
  auto it = RelayPorts.find(name);
  return it == RelayPorts.end() ? Nodes.at(name).Port : it->second;
}

boost::json::array Cluster::peerLinks(const std::string &name) const {
  boost::json::array links;
  for (const std::string &it : processesOf(EntryProgram))
    if (it != name)
      links.emplace_back(link(it).Value);
  return links;
}

void Cluster::writeSettingsFiles() {
  for (const auto &[name, settings] : Settings) {
    boost::json::object out = settings;
    out["platform"] = loopbackAddress(connectPort("platform"));
    if (const auto *it = settings.if_contains("upstream"))
      out["upstream"] =
          loopbackAddress(connectPort(std::string(it->as_string())));
    if (Plan.EntriesKnowPeers && Nodes.at(name).Program == EntryProgram)
      out["peers"] = peerLinks(name);
    writeFile(Dir.path() / (name + ".json"), boost::json::serialize(out));
  }
}

void Cluster::addRelay(const std::string &name) {
  int port = freePort();
  RelayPorts[name] = port;
  addStandin(name + "-relay", "standin-relay",
             {"--listen", std::to_string(port), "--to",
              std::to_string(Nodes.at(name).Port)});
}

void Cluster::start() {
  writeSettingsFiles();
  for (const auto &[name, node] : Nodes)
    if (node.Program.starts_with("standin-"))
      start(name);
  writeTeamSettings();
  for (const auto &[name, settings] : Settings)
    if (!Plan.StartLater.contains(name))
      start(name);
  for (const std::string &name : processesOf(EntryProgram))
    require(Plan.StartLater.contains(name) || waitReady(name, StartTimeout),
            name + " is not ready\n" + diagnosis());
  for (const std::string &name : processesOf(EntryProgram))
    require(Plan.StartLater.contains(name) || waitServing(name, StartTimeout),
            name + " does not serve the team\n" + diagnosis());
}

void Cluster::start(const std::string &name) {
  Node &node = Nodes.at(name);
  std::filesystem::path base = Dir.path() / name;
  // readyPort() must not find the ready line of an earlier run.
  std::error_code ec;
  std::filesystem::remove(base.string() + ".out", ec);
  node.Running = Process({node.Program, node.Args, base});
  if (node.Program.starts_with("standin-"))
    node.Running.readyPort();
}

void Cluster::kill(const std::string &name) { process(name).kill(); }

std::optional<int> Cluster::stop(const std::string &name,
                                 milliseconds timeout) {
  process(name).signal(SIGTERM);
  return process(name).wait(timeout);
}

Process &Cluster::process(const std::string &name) {
  return Nodes.at(name).Running;
}

Address Cluster::address(const std::string &name) const {
  return {loopbackAddress(Nodes.at(name).Port)};
}

Address Cluster::link(const std::string &name) const {
  return {loopbackAddress(Nodes.at(name).LinkPort)};
}

std::vector<std::string>
Cluster::processesOf(const std::string &program) const {
  std::vector<std::string> out;
  for (const auto &[name, node] : Nodes)
    if (node.Program == program)
      out.push_back(name);
  return out;
}

bool Cluster::waitReady(const std::string &name, milliseconds timeout) {
  constexpr milliseconds requestTimeout{1000};
  return waitUntil(
      [&] {
        HttpRequest request;
        request.Target = "/readyz";
        request.Timeout = requestTimeout;
        return call(address(name), request).Status == 200;
      },
      timeout);
}

std::uint64_t Cluster::generation(const std::string &name) {
  std::string text = get(address(name), "/metrics").Body;
  std::string key = "greengagespar_settings_generation ";
  auto at = text.find(key);
  return at == std::string::npos ? 0
                                 : std::stoull(text.substr(at + key.size()));
}

std::set<std::string> Cluster::entriesListedBy(const std::string &name) {
  std::set<std::string> out;
  boost::json::value value = jsonOf(get(address(name), "/v1/entries"));
  if (value.is_object())
    for (const auto &it : value.at("entries").as_array())
      out.emplace(it.at("address").as_string());
  return out;
}

bool Cluster::waitServing(const std::string &name, milliseconds timeout) {
  if (Plan.Workspaces.empty() || Plan.Helpers + Plan.Ledgers == 0)
    return true;
  load::CallSpec probe;
  probe.Kind =
      Plan.Ledgers > 0 ? load::CallKind::Status : load::CallKind::Draft;
  probe.Workspace = Plan.Workspaces.front();
  probe.Model = Plan.Group;
  probe.Service = Plan.Service;
  probe.Prompt = "len=1";
  probe.Order = "none";
  HttpRequest request = load::requestOf(probe, load::CallTarget::Entry);
  return waitUntil([&] { return call(address(name), request).Status == 200; },
                   timeout);
}

boost::json::array Cluster::servers(const std::string &kind) const {
  boost::json::array out;
  for (const auto &[name, settings] : Settings) {
    const auto *it = settings.if_contains("upstream_kind");
    if (it && it->as_string() == kind)
      out.push_back({{"id", name},
                     {"endpoint", loopbackAddress(connectPort(name))},
                     {"data_centre", Nodes.at(name).DataCentre}});
  }
  return out;
}

boost::json::object Cluster::groupSettings() const {
  return {
      {"model", Plan.Group},
      {"slots_per_server", Plan.HelperSlots},
      {"default_deadline_ms", 30000},
      {"max_deadline_ms", 120000},
      {"servers", servers("engine")},
      {"objectives",
       boost::json::array{boost::json::object{
           {"measure", "first_token"}, {"within_ms", 460}, {"share", 0.95}}}}};
}

boost::json::object Cluster::serviceSettings() const {
  return {{"slots_per_server", 64},
          {"default_deadline_ms", 5000},
          {"max_deadline_ms", 30000},
          {"dedupe_window_ms", 120000},
          {"servers", servers("service")},
          {"non_repeatable", boost::json::array{boost::json::object{
                                 {"method", "POST"}, {"path", "/bookings"}}}},
          {"objectives",
           boost::json::array{boost::json::object{
               {"measure", "answer"}, {"within_ms", 500}, {"share", 0.99}}}}};
}

void Cluster::writeTeamSettings() {
  std::string base = "/teams/" + Plan.Team + "/settings/";
  std::string workspaces = base + "workspaces/";
  if (Plan.Helpers > 0)
    putObject(base + "groups/" + Plan.Group, groupSettings());
  if (Plan.Ledgers > 0)
    putObject(base + "services/" + Plan.Service, serviceSettings());
  for (const std::string &workspace : Plan.Workspaces)
    putObject(std::string(workspaces).append(workspace),
              boost::json::object{{"weight", 1.0}, {"max_in_flight", 1000}});
}

HttpAnswer Cluster::putObject(const std::string &path,
                              const boost::json::value &value) {
  return sendJson(address("platform"), "PUT", "/v1/objects" + path, value);
}

boost::json::value Cluster::object(const std::string &path) {
  HttpAnswer answer = get(address("platform"), "/v1/objects" + path);
  if (answer.Status != 200)
    return nullptr;
  return jsonOf(answer).at("value");
}

void Cluster::setFaults(const boost::json::object &faults) {
  sendJson(address("platform"), "PUT", "/test/faults", faults);
}

void Cluster::setRelayMode(const std::string &relay,
                           const boost::json::object &mode) {
  sendJson(address(relay), "PUT", "/test/mode", mode);
}

std::map<std::string, int> Cluster::bookings() {
  std::map<std::string, int> out;
  for (const std::string &name : processesOf("standin-service")) {
    boost::json::value ledger = jsonOf(get(address(name), "/test/ledger"));
    if (!ledger.is_object())
      continue;
    for (const auto &it : ledger.at("orders").as_object())
      out[std::string(it.key())] += it.value().to_number<int>();
  }
  return out;
}

std::string Cluster::diagnosis() {
  std::string out;
  for (auto &[name, node] : Nodes) {
    std::string text = node.Running.errors();
    if (text.size() > DiagnosisBytes)
      text = text.substr(text.size() - DiagnosisBytes);
    out.append("--- ").append(name);
    out.append(node.Running.pid() ? "\n" : " (not running)\n").append(text);
  }
  return out;
}

} // namespace greengagespar::harness
