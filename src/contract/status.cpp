#include "greengagespar/contract/status.h"

#include "greengagespar/base/schema.h"

namespace greengagespar {

namespace {

namespace json = boost::json;

constexpr std::size_t MaxLaggingNodes = 1024;
constexpr std::int64_t MaxNodes = 100000;
constexpr auto Required = Presence::Required;

bool isAnyText(std::string_view) { return true; }

Codec<std::string> anyText() { return text("text", isAnyText); }

Codec<std::uint64_t> revision() {
  return wholeNumber<std::uint64_t>("revisions", {0, INT64_MAX});
}

Codec<Generation> generation() {
  Range<std::int64_t> range{0, INT64_MAX};
  return detail::scalarCodec<Generation>(
      "a generation",
      [range](const json::value &value) -> std::optional<Generation> {
        auto n = detail::wholeNumberIn(value, range);
        return n ? std::optional(Generation{static_cast<std::uint64_t>(*n)})
                 : std::nullopt;
      },
      [](const Generation &at) { return json::value(at.Value); });
}

const Schema<Finding> FindingSchema{
    {field("path", &Finding::Path, anyText(), Required, "Path of the value."),
     field("found", &Finding::Found, anyText(), Required,
           "The value that was found."),
     field("expected", &Finding::Expected, anyText(), Required,
           "The value that is expected.")}};

const Schema<SettingsStatus> SettingsStatusSchema{
    {field("state", &SettingsStatus::State, choice({"accepted", "refused"}),
           Required, "Whether the settings are accepted."),
     field("settings_version", &SettingsStatus::SettingsVersion, revision(),
           Required, "The revision that was checked."),
     field("accepted_generation", &SettingsStatus::AcceptedAt, generation(),
           Required, "The generation that is in force."),
     field("accepted_version", &SettingsStatus::AcceptedVersion, revision(),
           Required, "The revision that is in force."),
     field("findings", &SettingsStatus::Faults,
           listOf(FindingSchema, MaxFindings), Required,
           "Why the settings are refused.")}};

const Schema<LaggingNode> LaggingNodeSchema{
    {field("name", &LaggingNode::Name, identifier<HostId>("a host"), Required,
           "Name of the node."),
     field("generation", &LaggingNode::At, generation(), Required,
           "The generation that it has."),
     field("reason", &LaggingNode::Reason, anyText(), Required,
           "Why it lags.")}};

const Schema<InForceStatus> InForceStatusSchema{
    {field("generation", &InForceStatus::At, generation(), Required,
           "The newest generation."),
     field("nodes", &InForceStatus::Nodes, wholeNumber("nodes", {0, MaxNodes}),
           Required, "Live nodes."),
     field("in_force", &InForceStatus::InForce,
           wholeNumber("nodes", {0, MaxNodes}), Required,
           "Live nodes that have it."),
     field("lagging", &InForceStatus::Lagging,
           listOf(LaggingNodeSchema, MaxLaggingNodes), Required,
           "Live nodes that don't have it.")}};

template <class S>
Result<S> readStatus(const Schema<S> &schema, const json::value &value) {
  Findings findings;
  S out;
  readObject(schema, value, "", out, findings);
  if (findings.empty())
    return out;
  Error error = settingsError("status", findings);
  return fail(error.Kind, error.Message);
}

std::string statusPrefix(const TeamId &team) {
  return "/teams/" + team.Value + "/status/";
}

} // namespace

SettingsStatus statusOf(const AcceptDecision &decision,
                        std::uint64_t settingsVersion) {
  bool refused = decision.Outcome == AcceptOutcome::Refused;
  return {refused ? "refused" : "accepted", settingsVersion, decision.Team.At,
          decision.Team.SettingsVersion, decision.Faults};
}

std::string settingsStatusPath(const TeamId &team) {
  return statusPrefix(team) + "settings";
}

std::string inForceStatusPath(const TeamId &team) {
  return statusPrefix(team) + "in_force";
}

json::object writeSettingsStatus(const SettingsStatus &status) {
  return writeObject(SettingsStatusSchema, status);
}

Result<SettingsStatus> readSettingsStatus(const json::value &value) {
  return readStatus(SettingsStatusSchema, value);
}

json::object writeInForceStatus(const InForceStatus &status) {
  return writeObject(InForceStatusSchema, status);
}

Result<InForceStatus> readInForceStatus(const json::value &value) {
  return readStatus(InForceStatusSchema, value);
}

} // namespace greengagespar
