/// \file
/// The program greengagespar-endpoint. With "direct" as its first argument it
/// keeps the expert map of the rank on its host up to date; otherwise it stands
/// in front of a server and runs that server's calls.

#include "endpoint.h"

#include "greengagespar/base/program.h"
#include "greengagespar/direct/direct_program.h"
#include "greengagespar/direct/rank_agent.h"
#include "greengagespar/endpoint/endpoint_settings.h"
#include "platform/rank_dialect.h"
#include <iostream>

using namespace greengagespar;

namespace {

ExitCode run(const EndpointSettings &settings) {
  EventLoop loop;
  zmq::context_t context(1);
  Endpoint endpoint(loop.base(), context, settings);
  return runProcess(endpoint, loop, Part::Endpoint);
}

int runDirect(int argc, char **argv) {
  Program<RankAgentSettings> program;
  program.Info.Name = "greengagespar-endpoint direct";
  program.Info.Description =
      "Keeps the expert map of the rank on its host in step with its group.";
  program.Info.LogPart = Part::Group;
  program.Table = rankAgentSettingsSchema();
  program.Defaults = defaultRankAgentSettings();
  return runDirectProgram(program, argc, argv,
                          [](event_base *loop, zmq::context_t &context,
                             const RankAgentSettings &settings) {
                            return std::make_unique<RankAgent>(
                                loop, context, settings, platformRankDialect());
                          });
}

} // namespace

int main(int argc, char **argv) {
  if (argc > 1 && std::string_view(argv[1]) == "direct")
    return runDirect(argc - 1, argv + 1);
  Program<EndpointSettings> program;
  program.Info.Name = "greengagespar-endpoint";
  program.Info.Description = "Stands in front of one model engine or plain "
                             "service and runs its calls.";
  program.Info.LogPart = Part::Endpoint;
  program.Table = endpointSettingsSchema();
  program.Defaults = defaultEndpointSettings();
  program.Complete = completeEndpointSettings;
  program.Run = run;
  return runProgram(program, argc, argv, std::cout, std::cerr);
}
