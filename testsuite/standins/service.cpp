/// \file
/// A stand-in for a plain service: an order ledger that counts each execution
/// of a booking and deduplicates none, so that tests can detect repeated calls.
#include "http_server.h"

#include <CLI/CLI.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>

using namespace greengagespar::standin;

namespace {

constexpr std::string_view BookingsPath = "/bookings";

struct Ledger {
  HttpServer *Server = nullptr;
  std::chrono::microseconds ServiceTime{500};
  int Slots = 64;
  int Busy = 0;
  std::deque<Request> Waiting;
  std::map<std::string, std::uint64_t> Orders; ///< Bookings by order.
  std::uint64_t Total = 0;
};

boost::json::value countBooking(Ledger &ledger, const std::string &order) {
  ++ledger.Orders[order];
  ++ledger.Total;
  return boost::json::object{{"booking", ledger.Total}, {"order", order}};
}

boost::json::value bookingStatus(const Ledger &ledger,
                                 const std::string &order) {
  auto it = ledger.Orders.find(order);
  std::uint64_t n = it == ledger.Orders.end() ? 0 : it->second;
  return boost::json::object{{"order", order}, {"count", n}};
}

boost::json::value echo(const Request &req) {
  return boost::json::object{
      {"method", req.Method}, {"path", req.Path}, {"body", req.Body}};
}

// Executes a request and returns its answer. A booking is counted here, even if
// its answer is never sent.
boost::json::value execute(Ledger &ledger, const Request &req) {
  if (req.Method == "POST" && req.Path == BookingsPath)
    return countBooking(ledger, textOr(bodyObject(req), "order"));
  if (req.Method == "GET" && req.Path.starts_with("/bookings/"))
    return bookingStatus(ledger, req.Path.substr(BookingsPath.size() + 1));
  return echo(req);
}

void startWaiting(Ledger &ledger) {
  while (ledger.Busy < ledger.Slots && !ledger.Waiting.empty()) {
    Request req = std::move(ledger.Waiting.front());
    ledger.Waiting.pop_front();
    ++ledger.Busy;
    auto body = execute(ledger, req);
    ledger.Server->after(ledger.ServiceTime,
                         [&ledger, req, body = std::move(body)] {
                           sendJson(req, HTTP_OK, body);
                           --ledger.Busy;
                           startWaiting(ledger);
                         });
  }
}

void sendLedger(const Ledger &ledger, const Request &req) {
  boost::json::object orders;
  for (const auto &[order, n] : ledger.Orders)
    orders[order] = n;
  sendJson(req, HTTP_OK,
           boost::json::object{{"orders", std::move(orders)},
                               {"total", ledger.Total}});
}

} // namespace

int main(int argc, char **argv) {
  int port = 0;
  std::int64_t serviceUs = 500;
  Ledger ledger;
  CLI::App app("Stand-in for a plain service: an order ledger");
  app.add_option("--port", port, "port on 127.0.0.1; 0 picks a free one");
  app.add_option("--service-us", serviceUs, "time of one call, microseconds");
  app.add_option("--slots", ledger.Slots, "calls that run at a time");
  CLI11_PARSE(app, argc, argv);
  ledger.ServiceTime = std::chrono::microseconds(serviceUs);
  HttpServer server(port, [&ledger](Request req) {
    if (req.Path == "/test/ledger")
      return sendLedger(ledger, req);
    ledger.Waiting.push_back(std::move(req));
    startWaiting(ledger);
  });
  ledger.Server = &server;
  return server.run();
}
