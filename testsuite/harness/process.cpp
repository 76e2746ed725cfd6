#include "process.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace greengagespar::harness {

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

// These ports lie below the range that the kernel assigns to connections.
constexpr int FirstPort = 10240;
constexpr int PortCount = 22000;
// Spreads the first ports of concurrent test programs by their process ids.
constexpr int PortsPerProcess = 97;
constexpr int ExecFailedStatus = 127;
constexpr int SignalStatusBase = 128;

bool canListen(int port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(static_cast<std::uint16_t>(port));
  name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bool ok = bind(fd, reinterpret_cast<sockaddr *>(&name), sizeof name) == 0;
  close(fd);
  return ok;
}

std::vector<char *> argumentPointers(std::vector<std::string> &arguments) {
  std::vector<char *> out;
  out.reserve(arguments.size() + 1);
  for (std::string &argument : arguments)
    out.push_back(argument.data());
  out.push_back(nullptr);
  return out;
}

int openOutput(const std::filesystem::path &base, const char *suffix) {
  std::string file = base.empty() ? "/dev/null" : base.string() + suffix;
  constexpr int mode = 0600;
  return open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, mode);
}

// Returns the only environment variable that programs under test inherit: the
// options of the address sanitizer. Returns an empty text when it isn't set.
std::string addressSanitizerOptions() {
  constexpr const char *name = "ASAN_OPTIONS";
  const char *value = std::getenv(name);
  return value ? std::string(name) + "=" + value : std::string();
}

// Runs in the child after fork, so it calls only async-signal-safe functions.
[[noreturn]] void runChild(char *const *args, char *const *environment, int out,
                           int err, pid_t parent) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent)
    _exit(ExecFailedStatus);
  dup2(out, STDOUT_FILENO);
  dup2(err, STDERR_FILENO);
  execve(args[0], args, environment);
  _exit(ExecFailedStatus);
}

} // namespace

bool waitUntil(const std::function<bool()> &condition, milliseconds timeout) {
  auto end = Clock::now() + timeout;
  while (!condition()) {
    if (Clock::now() >= end)
      return false;
    std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

int freePort() {
  static int next = 0;
  for (int i = 0; i < PortCount; ++i) {
    int port = FirstPort + (getpid() * PortsPerProcess + next++) % PortCount;
    if (canListen(port))
      return port;
  }
  throw std::runtime_error("no free port");
}

std::filesystem::path programPath(const std::string &name) {
  return std::filesystem::read_symlink("/proc/self/exe").parent_path() / name;
}

TempDir::TempDir() {
  std::string name =
      (std::filesystem::temp_directory_path() / "greengagespar-XXXXXX")
          .string();
  if (!mkdtemp(name.data()))
    throw std::runtime_error("can't make a temporary folder");
  Path = name;
}

TempDir::~TempDir() {
  std::error_code ec;
  std::filesystem::remove_all(Path, ec);
}

std::string readFile(const std::filesystem::path &file) {
  std::ifstream in(file);
  std::stringstream out;
  out << in.rdbuf();
  return out.str();
}

void writeFile(const std::filesystem::path &file, const std::string &text) {
  std::ofstream out(file);
  out << text;
  if (!out.flush())
    throw std::runtime_error("can't write " + file.string());
}

Process::Process(const Command &command) : OutputBase(command.OutputBase) {
  std::filesystem::path program = command.Program;
  if (program.is_relative())
    program = programPath(command.Program);
  if (!std::filesystem::exists(program))
    throw std::runtime_error("no program " + program.string());
  std::vector<std::string> arguments = command.Args;
  arguments.insert(arguments.begin(), program.string());
  std::vector<char *> args = argumentPointers(arguments);
  int out = openOutput(OutputBase, ".out");
  int err = openOutput(OutputBase, ".err");
  std::string asanOptions = addressSanitizerOptions();
  std::array<char *, 2> environment{
      asanOptions.empty() ? nullptr : asanOptions.data(), nullptr};
  pid_t parent = getpid();
  Pid = fork();
  if (Pid == 0)
    runChild(args.data(), environment.data(), out, err, parent);
  close(out);
  close(err);
  if (Pid < 0) {
    Pid = 0;
    throw std::runtime_error("can't start " + program.string());
  }
}

Process::~Process() { kill(); }

Process::Process(Process &&other) noexcept
    : Pid(std::exchange(other.Pid, 0)), Status(other.Status),
      OutputBase(std::move(other.OutputBase)) {}

Process &Process::operator=(Process &&other) noexcept {
  if (this != &other) {
    kill();
    Pid = std::exchange(other.Pid, 0);
    Status = other.Status;
    OutputBase = std::move(other.OutputBase);
  }
  return *this;
}

bool Process::reap(int flags) {
  if (Pid == 0)
    return true;
  int status = 0;
  if (waitpid(Pid, &status, flags) != Pid)
    return false;
  Pid = 0;
  Status = WIFEXITED(status) ? WEXITSTATUS(status)
                             : SignalStatusBase + WTERMSIG(status);
  return true;
}

pid_t Process::pid() {
  reap(WNOHANG);
  return Pid;
}

void Process::signal(int number) {
  if (pid() != 0)
    ::kill(Pid, number);
}

void Process::kill() {
  signal(SIGKILL);
  reap(0);
}

std::optional<int> Process::wait(milliseconds timeout) {
  waitUntil([this] { return reap(WNOHANG); }, timeout);
  return Status;
}

int Process::readyPort(milliseconds timeout) {
  constexpr std::string_view marker = "ready port=";
  std::string text;
  auto ready = [&] {
    text = output();
    auto at = text.rfind(marker);
    return at != std::string::npos && text.find('\n', at) != std::string::npos;
  };
  if (!waitUntil([&] { return ready() || pid() == 0; }, timeout) || !ready())
    throw std::runtime_error("not ready: " + OutputBase.string());
  return std::atoi(text.c_str() + text.rfind(marker) + marker.size());
}

std::string Process::output() const {
  return readFile(OutputBase.string() + ".out");
}

std::string Process::errors() const {
  return readFile(OutputBase.string() + ".err");
}

long Process::residentKb() {
  std::ifstream in("/proc/" + std::to_string(pid()) + "/status");
  for (std::string line; std::getline(in, line);)
    if (line.starts_with("VmRSS:"))
      return std::strtol(line.c_str() + sizeof "VmRSS:" - 1, nullptr, 10);
  return 0;
}

milliseconds Process::processorTime() {
  std::string text = readFile("/proc/" + std::to_string(pid()) + "/stat");
  auto at = text.rfind(')');
  if (at == std::string::npos)
    return milliseconds(0);
  // The process name is followed by 11 fields, then by user and system time in
  // clock ticks.
  constexpr int fieldsBefore = 11;
  std::istringstream in(text.substr(at + 1));
  std::string skipped;
  for (int i = 0; i < fieldsBefore; ++i)
    in >> skipped;
  long user = 0;
  long system = 0;
  in >> user >> system;
  constexpr long msPerSecond = 1000;
  return milliseconds((user + system) * msPerSecond / sysconf(_SC_CLK_TCK));
}

} // namespace greengagespar::harness
