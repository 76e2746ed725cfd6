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
    : Client(client), OwnRow(std::move(own)), Found(std::move(found)),
      Rng(seed), RetryTimer(loop, [this] { readOwn(); }) {}

void EntryDirectory::start() {
  if (std::exchange(IsRunning, true))
    return;
  readOwn();
}

void EntryDirectory::readOwn() {
  auto done = [this](Result<Object> result) {
    recoverFrom(
        [&]() -> Result<void> {
          BOOST_LEAF_AUTO(object, std::move(result));
          writeIfChanged(object);
          return {};
        },
        [&](const Error &e) {
          if (e.Kind == ErrorKind::NotFound)
            writeIfChanged({});
          else
            retry();
        });
  };
  Client.get(EntriesPrefix + OwnRow.Host.Value, CallbackGuard.wrap(done));
}

void EntryDirectory::writeIfChanged(const Object &present) {
  json::value wanted = valueOf(OwnRow);
  if (present.Value == wanted)
    return list();
  auto done = [this](Result<PutOutcome> result) {
    bool isWritten = recoverFrom(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(outcome, std::move(result));
          return outcome.State == WriteState::Written;
        },
        [](const Error &) { return false; });
    // After a lost answer or a conflict, the object is read again.
    if (isWritten)
      list();
    else
      retry();
  };
  Client.put(EntriesPrefix + OwnRow.Host.Value, wanted, present.Version,
             CallbackGuard.wrap(done));
}

void EntryDirectory::list() {
  auto done = [this](Result<Listing> result) {
    recoverFrom(
        [&]() -> Result<void> {
          BOOST_LEAF_AUTO(listing, std::move(result));
          IsRunning = false;
          reset(Delay);
          Found(linksOf(listing));
          return {};
        },
        [&](const Error &) { retry(); });
  };
  Client.list(EntriesPrefix, "", CallbackGuard.wrap(done));
}

void EntryDirectory::retry() { RetryTimer.start(nextDelay(Delay, Rng)); }

} // namespace greengagespar
