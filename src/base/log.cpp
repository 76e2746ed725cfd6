#include "greengagespar/base/log.h"

#include <array>
#include <boost/core/null_deleter.hpp>
#include <boost/json.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_channel_logger.hpp>
#include <boost/smart_ptr/make_shared_object.hpp>
#include <cstdio>
#include <ctime>
#include <iostream>

namespace greengagespar {

namespace {

namespace bl = boost::log;
namespace json = boost::json;

using Backend = bl::sinks::text_ostream_backend;
using Sink = bl::sinks::synchronous_sink<Backend>;
using Source = bl::sources::severity_channel_logger<LogLevel, Part>;

constexpr std::array<std::string_view, 10> PartNames = {
    "entry", "endpoint", "platform", "contract", "host",
    "link",  "call",     "route",    "group",    "report"};
constexpr std::array<std::string_view, 4> LevelNames = {"debug", "info",
                                                        "warning", "error"};

boost::shared_ptr<Sink> currentSink;
LogLevel currentLevel = LogLevel::Info;

Source &source() {
  static Source instance;
  return instance;
}

// Returns the wall-clock time in UTC with milliseconds, as in RFC 3339.
std::string timeStamp() {
  auto now = std::chrono::system_clock::now();
  std::time_t seconds = std::chrono::system_clock::to_time_t(now);
  auto sinceEpoch = std::chrono::duration_cast<std::chrono::milliseconds>(
      now.time_since_epoch());
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, 32> date{};
  std::size_t n =
      std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &utc);
  std::array<char, 8> fraction{};
  std::snprintf(fraction.data(), fraction.size(), ".%03dZ",
                static_cast<int>(sinceEpoch.count() % 1000));
  return std::string(date.data(), n) + fraction.data();
}

bool isUtf8(std::string_view text) {
  // The JSON parser validates UTF-8, and a quoted string is a valid document.
  boost::system::error_code ec;
  json::parse(json::serialize(json::string(text)), ec);
  return !ec;
}

bool isPlain(char c) { return c >= 0x20 && c < 0x7f; }

void appendEscaped(std::string &out, char c) {
  std::array<char, 8> buf{};
  std::snprintf(buf.data(), buf.size(), "\\x%02x",
                static_cast<unsigned char>(c));
  out += buf.data();
}

// Turns \p message into one line of valid UTF-8 of bounded length.
std::string cleanMessage(std::string_view message) {
  bool isTruncated = message.size() > MaxLogMessageBytes;
  message = message.substr(0, MaxLogMessageBytes);
  std::string out;
  out.reserve(message.size());
  bool keepHighBytes = true;
  for (char c : message)
    if (!isPlain(c)) {
      keepHighBytes = isUtf8(message);
      break;
    }
  for (char c : message) {
    bool high = static_cast<unsigned char>(c) >= 0x80;
    if (isPlain(c) || (high && keepHighBytes))
      out += c;
    else
      appendEscaped(out, c);
  }
  return isTruncated ? out + "..." : out;
}

struct Line {
  Part From = Part::Entry;
  LogLevel Level = LogLevel::Info;
  std::string Message;
};

Line lineOf(const bl::record_view &record) {
  Line line;
  if (auto part = bl::extract<Part>("Channel", record))
    line.From = *part;
  if (auto level = bl::extract<LogLevel>("Severity", record))
    line.Level = *level;
  if (auto message = bl::extract<std::string>("Message", record))
    line.Message = *message;
  return line;
}

void writeText(const Line &line, bl::formatting_ostream &out) {
  out << timeStamp() << ' ' << logLevelName(line.Level) << ' '
      << partName(line.From) << ": " << line.Message;
}

void writeJson(const Line &line, const std::string &program,
               bl::formatting_ostream &out) {
  json::object object{{"time", timeStamp()},
                      {"level", logLevelName(line.Level)},
                      {"part", partName(line.From)},
                      {"message", line.Message},
                      {"program", program}};
  out << json::serialize(object);
}

} // namespace

std::string_view partName(Part part) {
  return PartNames.at(static_cast<std::size_t>(part));
}

std::string_view logLevelName(LogLevel level) {
  return LevelNames.at(static_cast<std::size_t>(level));
}

std::optional<LogLevel> logLevelByName(std::string_view name) {
  for (std::size_t i = 0; i < LevelNames.size(); ++i)
    if (LevelNames[i] == name)
      return static_cast<LogLevel>(i);
  return std::nullopt;
}

std::optional<LogFormat> logFormatByName(std::string_view name) {
  if (name == "text")
    return LogFormat::Text;
  if (name == "json")
    return LogFormat::Json;
  return std::nullopt;
}

void initLogging(const LogOptions &options, std::ostream *stream) {
  std::ostream *target = stream ? stream : &std::clog;
  auto backend = boost::make_shared<Backend>();
  backend->add_stream(
      boost::shared_ptr<std::ostream>(target, boost::null_deleter()));
  backend->auto_flush(true);
  auto sink = boost::make_shared<Sink>(backend);
  sink->set_formatter([format = options.Format,
                       program = options.Program](const bl::record_view &record,
                                                  bl::formatting_ostream &out) {
    Line line = lineOf(record);
    if (format == LogFormat::Json)
      writeJson(line, program, out);
    else
      writeText(line, out);
  });
  if (currentSink)
    bl::core::get()->remove_sink(currentSink);
  bl::core::get()->add_sink(sink);
  currentSink = sink;
  currentLevel = options.Level;
}

bool logEnabled(LogLevel level) { return currentSink && level >= currentLevel; }

void logMessage(Part part, LogLevel level, std::string_view message) {
  if (!logEnabled(level))
    return;
  BOOST_LOG_CHANNEL_SEV(source(), part, level) << cleanMessage(message);
}

LogAdmission admitMessage(LogLimiter &limiter, const std::string &key,
                          Clock::time_point now) {
  static const std::string overflow;
  auto expired = [&](const auto &entry) {
    return now - entry.second.IntervalStart >= limiter.Interval;
  };
  bool known = limiter.Keys.contains(key);
  if (!known && limiter.Keys.size() >= limiter.MaxKeys)
    std::erase_if(limiter.Keys, expired);
  bool full = !known && limiter.Keys.size() >= limiter.MaxKeys;
  auto [it, isNew] = limiter.Keys.try_emplace(full ? overflow : key);
  LogAllowance &allowance = it->second;
  std::uint64_t suppressed = 0;
  if (isNew || expired(*it)) {
    suppressed = allowance.Suppressed;
    allowance = {now, 0, 0};
  }
  if (allowance.Written >= limiter.MaxPerInterval) {
    ++allowance.Suppressed;
    return {false, 0};
  }
  ++allowance.Written;
  return {true, suppressed};
}

void logLimited(LogLimiter &limiter, const std::string &key,
                Clock::time_point now, Part part, LogLevel level,
                std::string_view message) {
  if (!logEnabled(level))
    return;
  LogAdmission admission = admitMessage(limiter, key, now);
  if (!admission.Admitted)
    return;
  if (admission.SuppressedBefore == 0) {
    logMessage(part, level, message);
    return;
  }
  logMessage(part, level,
             std::string(message) + " (" +
                 std::to_string(admission.SuppressedBefore) +
                 " like it left out)");
}

} // namespace greengagespar
