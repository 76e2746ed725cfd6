#include "greengagespar/load/entries.h"

#include "greengagespar/load/http_client.h"
#include <boost/json.hpp>

namespace greengagespar::load {

namespace {

constexpr std::chrono::milliseconds QueryTimeout{5000};
constexpr int StatusOk = 200;

HttpAnswer query(event_base *base, const Address &entry) {
  HttpClient client(base, entry);
  HttpRequest request;
  request.Target = "/v1/entries";
  request.Timeout = QueryTimeout;
  HttpAnswer out;
  client.send(request, [&out, base](const HttpAnswer &answer) {
    out = answer;
    event_base_loopbreak(base);
  });
  event_base_dispatch(base);
  return out;
}

} // namespace

Result<std::vector<Address>> readEntries(std::string_view body) {
  boost::json::error_code ec;
  boost::json::value value = boost::json::parse(body, ec);
  const boost::json::value *list =
      ec ? nullptr : value.find_pointer("/entries", ec);
  if (!list || !list->is_array())
    return fail(ErrorKind::BadRequest, "the answer lists no entries");
  std::vector<Address> out;
  for (const auto &it : list->as_array())
    if (const auto *address = it.find_pointer("/address", ec);
        address && address->is_string())
      out.push_back({std::string(address->as_string())});
  if (out.empty())
    return fail(ErrorKind::BadRequest, "the answer lists no address");
  return out;
}

Result<std::vector<Address>> queryEntries(const Address &entry) {
  event_base *base = event_base_new();
  HttpAnswer answer = query(base, entry);
  event_base_free(base);
  if (answer.Status != StatusOk)
    return fail(ErrorKind::LinkDown, entry.Value + " gives no addresses");
  return readEntries(answer.Body);
}

} // namespace greengagespar::load
