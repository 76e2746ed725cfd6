#include "team_schema.h"

#include <algorithm>

namespace greengagespar::detail {

namespace {

constexpr std::size_t MaxServers = 1024;
constexpr std::size_t MaxObjectives = 8;
constexpr std::size_t MaxPatterns = 64;
constexpr std::size_t MaxModelBytes = 128;
constexpr std::size_t MaxMethodBytes = 16;
constexpr std::size_t MaxPathBytes = 256;
constexpr std::int64_t HourInMilliseconds = 3600000;

constexpr auto Required = Presence::Required;
constexpr auto Optional = Presence::Optional;

bool isVisible(std::string_view text, std::size_t maxBytes) {
  auto visible = [](char c) { return c > 0x20 && c < 0x7f && c != '"'; };
  return !text.empty() && text.size() <= maxBytes &&
         std::all_of(text.begin(), text.end(), visible);
}

bool isModel(std::string_view text) { return isVisible(text, MaxModelBytes); }

bool isMethod(std::string_view text) {
  auto capital = [](char c) { return c >= 'A' && c <= 'Z'; };
  return !text.empty() && text.size() <= MaxMethodBytes &&
         std::all_of(text.begin(), text.end(), capital);
}

bool isPathPrefix(std::string_view text) {
  auto plain = [](char c) { return c != '%' && c != '?' && c != '#'; };
  return isVisible(text, MaxPathBytes) && text.front() == '/' &&
         std::all_of(text.begin(), text.end(), plain);
}

Schema<Server> makeServerSchema() {
  return {{
      field("id", &Server::Id, identifier<ServerId>("a server"), Required,
            "Unique in the whole system."),
      field("endpoint", &Server::Endpoint, ipPort(), Required,
            "Link address of the server's endpoint process."),
      field("data_centre", &Server::DataCentre,
            identifier<DataCentreId>("a data centre"), Required,
            "Data centre in which the server runs."),
      field("checks_fencing", &Server::ChecksFencing, boolean(), Optional,
            "Whether the server refuses orders with an old fencing number."),
      field("leaving", &Server::Leaving, boolean(), Optional,
            "Whether the server is to accept no new work."),
  }};
}

Schema<Objective> makeObjectiveSchema() {
  return {{
      field("measure", &Objective::Measure,
            choice({"answer", "first_token", "between_tokens"}), Required,
            "What is measured."),
      field("within_ms", &Objective::Within,
            millisecondCount(1, HourInMilliseconds), Required,
            "The time limit."),
      field("share", &Objective::Share, decimalNumber({0, 1}, true), Required,
            "Share of answers within the time limit."),
  }};
}

Schema<CallPattern> makePatternSchema() {
  return {{
      field("method", &CallPattern::Method,
            text("an HTTP method in capitals", isMethod), Required,
            "The method."),
      field("path", &CallPattern::PathPrefix,
            text("a path that begins with /, at most 256 bytes, without "
                 "spaces, %, ? and #",
                 isPathPrefix),
            Required, "Prefix of the path below the service."),
  }};
}

// Returns the keys that groups and services have in common.
template <class S> std::vector<Field<S>> commonFields() {
  return {
      field("servers", &S::Servers, listOf(makeServerSchema(), MaxServers),
            Required, "The servers of the group or service."),
      field("slots_per_server", &S::SlotsPerServer,
            wholeNumber("slots", {1, 4096}), Optional,
            "Calls that one server runs at a time."),
      field("default_deadline_ms", &S::DefaultDeadline,
            millisecondCount(1, HourInMilliseconds), Optional,
            "Deadline of calls that name none."),
      field("max_deadline_ms", &S::MaxDeadline,
            millisecondCount(1, HourInMilliseconds), Optional,
            "Longest deadline of a call."),
      field("objectives", &S::Objectives,
            listOf(makeObjectiveSchema(), MaxObjectives), Optional,
            "Service level objectives."),
  };
}

Schema<Group> makeGroupSchema() {
  Schema<Group> schema{commonFields<Group>()};
  schema.Fields.push_back(
      field("model", &Group::Model,
            text("a model name: 1 to 128 visible ASCII characters", isModel),
            Required, "The model name that callers send to use this group."));
  return schema;
}

Schema<Service> makeServiceSchema() {
  Schema<Service> schema{commonFields<Service>()};
  schema.Fields.push_back(field("non_repeatable", &Service::NonRepeatable,
                                listOf(makePatternSchema(), MaxPatterns),
                                Optional, "Calls that may run at most once."));
  schema.Fields.push_back(field("dedupe_window_ms", &Service::DedupeWindow,
                                millisecondCount(1000, HourInMilliseconds),
                                Optional,
                                "How long idempotency keys are kept."));
  return schema;
}

Schema<Workspace> makeWorkspaceSchema() {
  return {{
      field("weight", &Workspace::Weight, decimalNumber({0, 1000}), Optional,
            "Relative share under contention."),
      field("max_in_flight", &Workspace::MaxInFlight,
            wholeNumber("calls", {1, 100000}), Optional,
            "Most calls in progress on one entry."),
      field("rate_per_second", &Workspace::RatePerSecond,
            optional(decimalNumber({0, 1000000})), Optional,
            "Most calls a second on one entry."),
  }};
}

} // namespace

const Schema<Group> &groupSchema() {
  static const Schema<Group> schema = makeGroupSchema();
  return schema;
}

const Schema<Service> &serviceSchema() {
  static const Schema<Service> schema = makeServiceSchema();
  return schema;
}

const Schema<Workspace> &workspaceSchema() {
  static const Schema<Workspace> schema = makeWorkspaceSchema();
  return schema;
}

} // namespace greengagespar::detail
