#include "ledger.h"

#include <algorithm>

namespace greengagespar::soak {

namespace {

using namespace std::chrono_literals;
using site::FakeAnswer;

// A slot and a queue as small ledgers have them.
constexpr std::size_t Slots = 12;
constexpr std::size_t QueueLength = 6;

std::string idOf(const HttpRequestMessage &request) {
  const std::string *id = findField(request.Head.Fields, "X-Request-Id");
  return id ? *id : std::string();
}

} // namespace

void Ledger::setMood(LedgerMood mood, Clock::time_point until) {
  bool wasAway = std::exchange(Mood, mood) == LedgerMood::Away;
  bool isAway = mood == LedgerMood::Away;
  MoodUntil = until;
  if (wasAway && !isAway)
    Server->listen();
  if (wasAway || !isAway)
    return;
  Server->stopListening();
  Server->closeAll(true);
  for (const auto &[arrival, due] : Running)
    Run.Seen.Arrivals[arrival].ServerBroke = true;
  for (std::size_t arrival : Waiting)
    Run.Seen.Arrivals[arrival].ServerBroke = true;
}

void Ledger::begin(std::size_t arrival) {
  auto work = Run.Choices.within(10ms, 60ms);
  if (Mood == LedgerMood::Slow)
    work *= 10;
  Run.Seen.Arrivals[arrival].RanAt = Run.Since();
  Running[arrival] = Clock::now() + work;
}

FakeAnswer Ledger::arrive(const HttpRequestMessage &request) {
  std::size_t index = Run.Seen.Arrivals.size();
  Arrival &arrival = Run.Seen.Arrivals.emplace_back();
  arrival.Id = idOf(request);
  arrival.At = Run.Since();
  arrival.Server = Number;
  arrival.Connection = Server->Answering;
  ArrivalOn[arrival.Connection] = index;
  if (Mood == LedgerMood::ResetsBefore) {
    arrival.ServerBroke = true;
    return {.Resets = true};
  }
  std::string copied;
  if (auto it = Rests.find(arrival.Connection); it != Rests.end())
    copied = take(it->second.Copy, it->second.AtNextRequest);
  bool isRefused =
      Mood == LedgerMood::Full || Run.Choices.hits(Run.Options.RefusedPercent);
  if (!isRefused && Running.size() < Slots) {
    begin(index);
  } else if (!isRefused && Waiting.size() < QueueLength) {
    Waiting.push_back(index);
  } else {
    FakeAnswer refusal = answer(
        index,
        site::signedAnswer(request, 503, "full", "X-Not-Executed: 1\r\n"),
        Run.Options.CopiedRefusalPercent);
    refusal.Bytes.insert(0, copied);
    return refusal;
  }
  return {.Bytes = copied, .IsPartial = true};
}

// Returns the answer to a request whose work is done, and nothing before.
FakeAnswer Ledger::finish(const HttpRequestMessage &request) {
  std::size_t index = ArrivalOn.at(Server->Answering);
  auto it = Running.find(index);
  if (it == Running.end() || it->second > Clock::now())
    return {.SendsNothing = true};
  Arrival &arrival = Run.Seen.Arrivals[index];
  arrival.DoneAt = Run.Since();
  Running.erase(it);
  if (Mood == LedgerMood::ResetsAfter) {
    arrival.ServerBroke = true;
    return {.Resets = true};
  }
  int status = Mood == LedgerMood::Fails ? 500 : 200;
  return answer(index, site::signedAnswer(request, status, arrival.Id),
                Run.Options.CopiedAnswerPercent);
}

// Returns the answer, behind what is due of an earlier copy.
FakeAnswer Ledger::answer(std::size_t arrival, const std::string &bytes,
                          std::size_t copiedPercent) {
  Arrival &it = Run.Seen.Arrivals[arrival];
  it.AnsweredAt = Run.Since();
  std::string all;
  if (auto rest = Rests.find(it.Connection); rest != Rests.end()) {
    all = take(rest->second.Copy, rest->second.AtNextAnswer);
    Rests.erase(rest);
  }
  all += bytes;
  if (Run.Choices.hits(copiedPercent))
    all += copy(arrival, bytes);
  return {.Bytes = all};
}

// Plans a copy, whole at one of three places, or in pieces at all of them.
// Returns what is to be written behind the answer.
std::string Ledger::copy(std::size_t arrival, const std::string &bytes) {
  enum Place : std::size_t { AtNextRequest, AtNextAnswer, InPieces, AtOnce };
  auto place = Run.Choices.pick(Run.Options.CopiesAtOnce ? 4 : 3);
  std::size_t first = place == AtOnce ? bytes.size() : 0;
  std::size_t second = place == AtNextAnswer ? 0 : bytes.size();
  if (place == InPieces) {
    second = 1 + Run.Choices.pick(bytes.size() - 1);
    if (Run.Options.CopiesAtOnce)
      first = Run.Choices.pick(second);
  }
  std::size_t index = Run.Seen.Copies.size();
  Run.Seen.Copies.push_back({arrival, {}, {}});
  Rest &rest = Rests[Run.Seen.Arrivals[arrival].Connection];
  rest = {index, bytes.substr(first, second - first), bytes.substr(second)};
  std::string now = bytes.substr(0, first);
  return take(index, now);
}

// Returns a piece that is written now, and clears it.
std::string Ledger::take(std::size_t copy, std::string &piece) {
  Copy &it = Run.Seen.Copies[copy];
  if (!piece.empty()) {
    it.To = Run.Since();
    it.From = it.From.value_or(it.To);
  }
  return std::exchange(piece, {});
}

void Ledger::step() {
  auto now = Clock::now();
  if (now >= MoodUntil)
    setMood(LedgerMood::Sound, now);
  Server->answerPending(
      [&](const HttpRequestMessage &request) { return finish(request); });
  // What is left of those that are due has lost its connection.
  std::erase_if(Running, [&](const auto &it) {
    if (it.second > now)
      return false;
    Run.Seen.Arrivals[it.first].DoneAt = Run.Since();
    return true;
  });
  while (!Waiting.empty() && Running.size() < Slots) {
    begin(Waiting.front());
    Waiting.pop_front();
  }
}

} // namespace greengagespar::soak
