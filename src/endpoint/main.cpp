/// \file
/// The program greengagespar-endpoint.

#include "endpoint.h"

#include "greengagespar/base/event_loop.h"
#include "greengagespar/base/log.h"
#include "greengagespar/base/program.h"
#include "greengagespar/endpoint/endpoint_settings.h"
#include <iostream>

using namespace greengagespar;

namespace {

ExitCode run(const EndpointSettings &settings) {
  EventLoop loop;
  zmq::context_t context(1);
  Endpoint endpoint(loop.base(), context, settings);
  bool isStarted = recoverFrom(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(endpoint.start());
        return true;
      },
      [](const Error &e) {
        logError(Part::Endpoint, e.Message);
        return false;
      });
  if (!isStarted)
    return ExitCode::CannotStart;
  loop.onTermination([&] { endpoint.leave(); });
  loop.run();
  return ExitCode::Ok;
}

} // namespace

int main(int argc, char **argv) {
  Program<EndpointSettings> program;
  program.Info.Name = "greengagespar-endpoint";
  program.Info.Description =
      "Stands before one model engine or plain service and runs its calls.";
  program.Info.LogPart = Part::Endpoint;
  program.Table = endpointSettingsSchema();
  program.Defaults = defaultEndpointSettings();
  program.Complete = completeEndpointSettings;
  program.Run = run;
  return runProgram(program, argc, argv, std::cout, std::cerr);
}
