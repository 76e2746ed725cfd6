#include "greengagespar/base/log_output.h"

#include <array>
#include <cstdio>
#include <poll.h>
#include <unistd.h>

namespace greengagespar {

namespace detail {

LogBuffer::int_type LogBuffer::overflow(int_type c) {
  if (c == traits_type::eof())
    return traits_type::not_eof(c);
  char one = traits_type::to_char_type(c);
  xsputn(&one, 1);
  return c;
}

std::streamsize LogBuffer::xsputn(const char *text, std::streamsize n) {
  for (std::streamsize i = 0; i < n; ++i) {
    Line += text[i];
    if (text[i] == '\n')
      endLine();
  }
  return n;
}

void LogBuffer::endLine() {
  auto now = Clock::now();
  if (now - Second >= std::chrono::seconds(1)) {
    Second = now;
    LinesInSecond = 0;
  }
  bool fits = LinesInSecond < Limits.LinesPerSecond &&
              Waiting.size() + Line.size() <= Limits.MaxWaiting;
  if (fits) {
    ++LinesInSecond;
    if (DroppedUntold > 0)
      Waiting += "log_lines_left_out n=" + std::to_string(DroppedUntold) + "\n";
    DroppedUntold = 0;
    Waiting += Line;
  } else {
    ++Dropped;
    ++DroppedUntold;
  }
  Line.clear();
}

void LogBuffer::flush() {
  // A pipe takes this much at once when it is writable at all.
  constexpr std::size_t atOnce = 4096;
  while (!Waiting.empty()) {
    pollfd ready{Fd, POLLOUT, 0};
    if (poll(&ready, 1, 0) != 1 || !(ready.revents & POLLOUT))
      return;
    ssize_t n = write(Fd, Waiting.data(), std::min(Waiting.size(), atOnce));
    if (n <= 0)
      return;
    Waiting.erase(0, static_cast<std::size_t>(n));
  }
}

} // namespace detail

LogLine &LogLine::add(std::string_view name, std::string_view value) {
  Text += ' ';
  Text += name;
  Text += '=';
  bool isPlain =
      !value.empty() && value.find_first_of(" \"=") == std::string_view::npos;
  if (isPlain) {
    Text += value;
    return *this;
  }
  Text += '"';
  for (char c : value) {
    if (c == '"' || c == '\\')
      Text += '\\';
    Text += c;
  }
  Text += '"';
  return *this;
}

LogLine &LogLine::add(std::string_view name, std::int64_t value) {
  return add(name, std::string_view(std::to_string(value)));
}

LogLine &LogLine::addMs(std::string_view name, Clock::duration time) {
  std::array<char, 32> buf{};
  double ms = std::chrono::duration<double, std::milli>(time).count();
  int n = std::snprintf(buf.data(), buf.size(), "%.1f", ms);
  return add(name, std::string_view(buf.data(), static_cast<std::size_t>(n)));
}

} // namespace greengagespar
