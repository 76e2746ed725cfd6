/// \file
/// A stand-in for the weight store: it serves deterministic bytes under a rate
/// limit.
#include "http_server.h"

#include "greengagespar/load/expected_text.h"
#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdint>
#include <string>

using namespace greengagespar::standin;
namespace load = greengagespar::load;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::string_view WeightsPrefix = "/v1/weights/";
constexpr std::uint64_t MaxLength = std::uint64_t{16} * 1024 * 1024;

// The store's rate limit: a token bucket that holds the bytes of one second.
struct WeightStore {
  double BytesPerSecond = 1e8;
  std::uint64_t ItemBytes =
      std::uint64_t{256} * 1024 * 1024; ///< Size of each item.
  double Available = 0; ///< Bytes in the bucket; negative after a large item.
  Clock::time_point FilledAt = Clock::now();
};

void refill(WeightStore &store) {
  auto now = Clock::now();
  std::chrono::duration<double> passed = now - store.FilledAt;
  store.FilledAt = now;
  store.Available =
      std::min(store.BytesPerSecond,
               store.Available + passed.count() * store.BytesPerSecond);
}

std::string bytesAt(std::uint64_t nameHash, std::uint64_t offset,
                    std::uint64_t length) {
  std::string out(length, '\0');
  for (std::uint64_t i = 0; i < length; ++i)
    out[i] = static_cast<char>(nameHash + (offset + i) * 131);
  return out;
}

void refuse(const WeightStore &store, const Request &req, double missing) {
  constexpr double msPerSecond = 1000;
  auto ms = static_cast<std::int64_t>(
      missing / store.BytesPerSecond * msPerSecond + 1);
  evhttp_add_header(evhttp_request_get_output_headers(req.Raw),
                    "Retry-After-Ms", std::to_string(ms).c_str());
  sendText(req, 429, "", nullptr);
}

void serve(WeightStore &store, const Request &req) {
  if (req.Method != "GET" || !req.Path.starts_with(WeightsPrefix))
    return sendText(req, HTTP_NOTFOUND, "", nullptr);
  std::uint64_t offset = queryNumber(req, "offset", 0);
  std::uint64_t length = queryNumber(req, "length", MaxLength);
  if (offset > store.ItemBytes)
    return sendText(req, 416, "", nullptr);
  length = std::min({length, MaxLength, store.ItemBytes - offset});
  refill(store);
  // The bucket holds at most the bytes of one second, so a larger request is
  // served as soon as the bucket is full. Available then becomes negative.
  double needed = std::min(static_cast<double>(length), store.BytesPerSecond);
  if (store.Available < needed)
    return refuse(store, req, needed - store.Available);
  store.Available -= static_cast<double>(length);
  std::uint64_t hash = load::hashText(req.Path.substr(WeightsPrefix.size()));
  sendText(req, HTTP_OK, bytesAt(hash, offset, length),
           "application/octet-stream");
}

} // namespace

int main(int argc, char **argv) {
  int port = 0;
  WeightStore store;
  CLI::App app("Stand-in for the weight store");
  app.add_option("--port", port, "port on 127.0.0.1; 0 picks a free one");
  app.add_option("--bytes-per-second", store.BytesPerSecond,
                 "rate limit, bytes per second");
  app.add_option("--item-bytes", store.ItemBytes, "size of each item");
  CLI11_PARSE(app, argc, argv);
  store.Available = store.BytesPerSecond;
  HttpServer server(port, [&store](const Request &req) { serve(store, req); });
  return server.run();
}
