/// \file
/// The text that a test engine generates. The text is a pure function of the
/// prompt, so that the load tool and tests can compute the complete answer to
/// each request. Thread safe.
#ifndef GREENGAGESPAR_LOAD_EXPECTED_TEXT_H
#define GREENGAGESPAR_LOAD_EXPECTED_TEXT_H

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

namespace greengagespar::load {

/// The seed of hashText.
inline constexpr std::uint64_t HashSeed = 14695981039346656037ULL;

/// Returns the 64-bit FNV-1a hash of \p text (draft-eastlake-fnv).
inline std::uint64_t hashText(std::string_view text) {
  std::uint64_t h = HashSeed;
  for (unsigned char c : text)
    h = (h ^ c) * 1099511628211ULL;
  return h;
}

/// Applies the finalizer of SplitMix64, which spreads each input bit over the
/// whole result.
inline std::uint64_t mixBits(std::uint64_t x) {
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

/// Returns token \p i, counted from 0, of the answer to a prompt with hash
/// \p promptHash. A token is a space and five letters; the first token has no
/// space.
inline std::string tokenOf(std::uint64_t promptHash, std::uint64_t i) {
  constexpr int letters = 5;
  std::string out = i == 0 ? "" : " ";
  std::uint64_t h = mixBits(promptHash + i * 0x9e3779b97f4a7c15ULL);
  for (int n = 0; n < letters; ++n, h /= 26)
    out += static_cast<char>('a' + h % 26);
  return out;
}

/// Returns token \p i, counted from 0, of the answer to \p prompt.
inline std::string token(std::string_view prompt, std::uint64_t i) {
  return tokenOf(hashText(prompt), i);
}

/// Returns the number of tokens of the complete answer before any limit: NNN if
/// the prompt contains "len=NNN", else 8 to 39 depending on the prompt's hash.
inline std::uint64_t naturalLength(std::string_view prompt) {
  constexpr std::string_view mark = "len=";
  if (auto at = prompt.find(mark); at != std::string_view::npos) {
    std::string digits(prompt.substr(at + mark.size(), 9));
    if (auto n = std::strtoull(digits.c_str(), nullptr, 10); n > 0)
      return n;
  }
  return 8 + mixBits(hashText(prompt)) % 32;
}

/// Returns the number of tokens of the answer, at most \p maxTokens.
inline std::uint64_t tokenCount(std::string_view prompt,
                                std::uint64_t maxTokens) {
  return std::min(naturalLength(prompt), maxTokens);
}

/// Returns the number of tokens of \p prompt, which is its number of words.
inline std::uint64_t promptTokens(std::string_view prompt) {
  std::uint64_t n = 0;
  bool inWord = false;
  for (char c : prompt) {
    bool space = c == ' ' || c == '\n' || c == '\t';
    n += !space && !inWord ? 1 : 0;
    inWord = !space;
  }
  return n;
}

/// Returns the complete answer to \p prompt, at most \p maxTokens tokens.
inline std::string expectedText(std::string_view prompt,
                                std::uint64_t maxTokens) {
  std::string out;
  std::uint64_t hash = hashText(prompt);
  for (std::uint64_t i = 0, n = tokenCount(prompt, maxTokens); i < n; ++i)
    out += tokenOf(hash, i);
  return out;
}

} // namespace greengagespar::load

#endif // GREENGAGESPAR_LOAD_EXPECTED_TEXT_H
