/// \file
/// Bounds what one entry sends to a server by the tokens that its prompts and
/// answers in progress take there. A server that holds more than its memory
/// crashes, or gives up requests that it has begun. In force only for servers
/// whose engine declares its memory. Pure functions over a plain struct; not
/// thread safe.
#ifndef GREENGAGESPAR_ROUTE_SERVER_MEMORY_H
#define GREENGAGESPAR_ROUTE_SERVER_MEMORY_H

#include <cstdint>

namespace greengagespar {

/// A server's memory and the part that this entry's calls take, in tokens.
struct ServerMemory {
  std::int64_t Tokens = 0; ///< As its engine declares; 0: not declared.
  std::int64_t Held = 0;   ///< Of calls in progress.
};

/// Returns the tokens that a request takes at its end: those of its prompt and
/// the most that its answer may have. Negative numbers count as none.
std::int64_t tokensOf(int promptTokens, int maxAnswerTokens);

/// Whether a server with this memory and no other request can hold \p tokens.
bool canHold(const ServerMemory &memory, std::int64_t tokens);

/// Whether the server has memory left for \p tokens.
bool hasMemoryFor(const ServerMemory &memory, std::int64_t tokens);

/// Records that a call that takes \p tokens begins.
void holdTokens(ServerMemory &memory, std::int64_t tokens);

/// Records that a call that takes \p tokens has ended, also one that began
/// before the state was made anew.
void releaseTokens(ServerMemory &memory, std::int64_t tokens);

} // namespace greengagespar

#endif // GREENGAGESPAR_ROUTE_SERVER_MEMORY_H
