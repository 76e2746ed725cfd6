/// \file
/// Test support: answers of HTTP that a server in trouble has broken.
#ifndef GREENGAGESPAR_HTTP_BROKEN_ANSWERS_H
#define GREENGAGESPAR_HTTP_BROKEN_ANSWERS_H

#include <cstdio>
#include <string>
#include <vector>

namespace greengagespar {

/// The bytes of an answer that no reader may take for one.
struct BrokenAnswer {
  std::string Name; ///< What is broken.
  std::string Bytes;
};

/// A line of a head or a trailer whose field has a name that is no token (RFC
/// 9110, section 5.6.2), without the end of the line.
struct BrokenLine {
  const char *Name;
  std::string Text;
};

/// Returns lines with names that hold a blank or a control byte, or are empty.
/// Some frame the body for a reader that forgives the name.
inline std::vector<BrokenLine> linesWithBrokenNames() {
  using namespace std::string_literals;
  return {
      {"a blank in a name", "X Note: a"},
      {"a blank behind a name", "X-Note : a"},
      {"a blank before a name", " X-Note: a"},
      {"a tab in a name", "X\tNote: a"},
      {"a tab behind a name", "X-Note\t: a"},
      {"a tab before a name", "\tX-Note: a"},
      {"byte 1 in a name", "X-\x01Note: a"},
      {"byte 0 in a name", "X-\0Note: a"s},
      {"byte 0 behind a name", "X-Note\0: a"s},
      {"byte 127 in a name", "X-\x7fNote: a"},
      {"a return in a name", "X-\rNote: a"},
      {"an empty name", ": a"},
      {"no colon", "X-Note"},
      {"a blank behind Content-Length", "Content-Length : 2"},
      {"a tab behind Content-Length", "Content-Length\t: 2"},
      {"a blank before Content-Length", " Content-Length: 2"},
      {"byte 1 in Content-Length", "Content-\x01Length: 2"},
      {"a blank behind Transfer-Encoding", "Transfer-Encoding : chunked"},
      {"byte 31 behind Transfer-Encoding", "Transfer-Encoding\x1f: chunked"},
  };
}

/// Returns answers with status 200 in whose head or trailer a field has a
/// broken name. \p fields: other lines of each head, with their ends.
inline std::vector<BrokenAnswer>
answersWithBrokenNames(const std::string &fields, const std::string &body) {
  const std::string status = "HTTP/1.1 200 OK\r\n";
  const std::string length =
      "Content-Length: " + std::to_string(body.size()) + "\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", body.size());
  const std::string chunks = size + body + "\r\n0\r\n";
  // What stands before the broken line and behind it.
  struct Place {
    const char *Name;
    std::string Before;
    std::string After;
  };
  const Place places[] = {
      {"last in a head with a length", status + fields + length, "\r\n" + body},
      {"first in a head with a length", status,
       fields + length + "\r\n" + body},
      {"in a head with chunks", status + fields + chunked,
       "\r\n" + chunks + "\r\n"},
      {"in a head without a length", status + fields, "\r\n" + body},
      {"in front of chunks", status + fields, "\r\n" + chunks + "\r\n"},
      {"first in a trailer", status + fields + chunked + "\r\n" + chunks,
       "X-More: a\r\n\r\n"},
      {"last in a trailer",
       status + fields + chunked + "\r\n" + chunks + "X-More: a\r\n", "\r\n"},
  };
  std::vector<BrokenAnswer> out;
  for (const BrokenLine &line : linesWithBrokenNames())
    for (const Place &place : places) {
      BrokenAnswer &it = out.emplace_back();
      it.Name.append(line.Name).append(", ").append(place.Name);
      it.Bytes.append(place.Before)
          .append(line.Text)
          .append("\r\n")
          .append(place.After);
    }
  return out;
}

} // namespace greengagespar

#endif // GREENGAGESPAR_HTTP_BROKEN_ANSWERS_H
