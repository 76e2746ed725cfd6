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
  if (now - SecondStart >= std::chrono::seconds(1)) {
    SecondStart = now;
    LinesInSecond = 0;
  }
  bool fits = LinesInSecond < Limits.LinesPerSecond &&
              Buffered.size() + Line.size() <= Limits.MaxBufferedBytes;
  if (fits) {
    ++LinesInSecond;
    if (UnreportedDrops > 0)
      Buffered +=
          "log_lines_left_out n=" + std::to_string(UnreportedDrops) + "\n";
    UnreportedDrops = 0;
    Buffered += Line;
  } else {
    ++Dropped;
    ++UnreportedDrops;
  }
  Line.clear();
}

void LogBuffer::flush() {
  // A writable pipe accepts this many bytes without blocking.
  constexpr std::size_t maxWriteBytes = 4096;
  while (!Buffered.empty()) {
    pollfd ready{Fd, POLLOUT, 0};
    if (poll(&ready, 1, 0) != 1 || !(ready.revents & POLLOUT))
      return;
    ssize_t n =
        write(Fd, Buffered.data(), std::min(Buffered.size(), maxWriteBytes));
    if (n <= 0)
      return;
    Buffered.erase(0, static_cast<std::size_t>(n));
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
