#include "greengagespar/direct/metrics_listener.h"

#include "greengagespar/base/log.h"
#include "greengagespar/base/log_output.h"

namespace greengagespar {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;

} // namespace

void sendMetrics(HttpReply &reply, const std::string &text) {
  reply.sendWhole(StatusOk, {{"Content-Type", "text/plain; version=0.0.4"}},
                  text);
}

MetricsListener::MetricsListener(event_base *loop,
                                 std::function<std::string()> render)
    : Render(std::move(render)),
      Listener(loop, {},
               [this](const HttpRequestMessage &request,
                      const std::shared_ptr<HttpReply> &reply) {
                 if (request.Head.Target == "/metrics")
                   return sendMetrics(*reply, Render());
                 reply->sendWhole(StatusNotFound, {}, "");
               }) {}

void MetricsListener::listen(const Address &address) {
  if (address.Value.empty())
    return;
  recoverFrom([&]() -> Result<void> { return Listener.listen(address); },
              [&](const Error &e) {
                logWarning(Part::Report, LogLine("metrics_not_served")
                                             .add("at", address.Value)
                                             .add("why", e.Message)
                                             .text());
              });
}

} // namespace greengagespar
