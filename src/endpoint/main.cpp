/// \file
/// The program greengagespar-endpoint.

#include "endpoint.h"

#include "greengagespar/base/program.h"
#include "greengagespar/endpoint/endpoint_settings.h"
#include <iostream>

using namespace greengagespar;

namespace {

ExitCode run(const EndpointSettings &settings) {
  EventLoop loop;
  zmq::context_t context(1);
  Endpoint endpoint(loop.base(), context, settings);
  return runProcess(endpoint, loop, Part::Endpoint);
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
