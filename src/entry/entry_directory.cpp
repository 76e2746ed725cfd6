#include "entry_directory.h"

#include <boost/json.hpp>
#include <utility>

namespace greengagespar {

namespace json = boost::json;

namespace {

json::object valueOf(const MemberRow &row) {
  return {{"link", row.Link.Value},
          {"callers", row.Callers.Value},
          {"data_centre", row.DataCentre.Value}};
}

std::vector<Address> linksOf(const Listing &listing) {
  std::vector<Address> links;
  for (const Object &it : listing.Objects) {
    const json::object *object = it.Value.if_object();
    const json::value *link = object ? object->if_contains("link") : nullptr;
    if (link && link->is_string())
      links.push_back({std::string(link->get_string())});
  }
  return links;
}

} // namespace

EntryDirectory::EntryDirectory(event_base *loop, ObjectClient &client,
                               MemberRow own, std::uint64_t seed, OnFound found)
    : Client(client), Own(std::move(own)), Found(std::move(found)), Rng(seed),
      Next(loop, [this] { read(); }) {}

void EntryDirectory::start() {
  if (std::exchange(AtWork, true))
    return;
  read();
}

void EntryDirectory::read() {
  auto done = [this](Result<Object> result) {
    recoverFrom(
        [&]() -> Result<void> {
          BOOST_LEAF_AUTO(object, std::move(result));
          compare(object);
          return {};
        },
        [&](const Error &e) {
          if (e.Kind == ErrorKind::NotFound)
            compare({});
          else
            retry();
        });
  };
  Client.get(EntriesPrefix + Own.Host.Value, Life.wrap(done));
}

void EntryDirectory::compare(const Object &present) {
  json::value wanted = valueOf(Own);
  if (present.Value == wanted)
    return list();
  auto done = [this](Result<PutOutcome> result) {
    bool isWritten = recoverFrom(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(outcome, std::move(result));
          return outcome.State == WriteState::Written;
        },
        [](const Error &) { return false; });
    // A lost answer is settled by reading again.
    if (isWritten)
      list();
    else
      retry();
  };
  Client.put(EntriesPrefix + Own.Host.Value, wanted, present.Version,
             Life.wrap(done));
}

void EntryDirectory::list() {
  auto done = [this](Result<Listing> result) {
    recoverFrom(
        [&]() -> Result<void> {
          BOOST_LEAF_AUTO(listing, std::move(result));
          AtWork = false;
          reset(Delay);
          Found(linksOf(listing));
          return {};
        },
        [&](const Error &) { retry(); });
  };
  Client.list(EntriesPrefix, "", Life.wrap(done));
}

void EntryDirectory::retry() { Next.start(nextDelay(Delay, Rng)); }

} // namespace greengagespar
