#include "greengagespar/route/server_memory.h"

#include <algorithm>

namespace greengagespar {

std::int64_t tokensOf(int promptTokens, int maxAnswerTokens) {
  return std::int64_t{std::max(0, promptTokens)} + std::max(0, maxAnswerTokens);
}

bool canHold(const ServerMemory &memory, std::int64_t tokens) {
  return memory.Tokens == 0 || tokens <= memory.Tokens;
}

bool hasMemoryFor(const ServerMemory &memory, std::int64_t tokens) {
  return memory.Tokens == 0 || tokens <= memory.Tokens - memory.Held;
}

void holdTokens(ServerMemory &memory, std::int64_t tokens) {
  memory.Held += tokens;
}

void releaseTokens(ServerMemory &memory, std::int64_t tokens) {
  memory.Held = std::max<std::int64_t>(0, memory.Held - tokens);
}

} // namespace greengagespar
