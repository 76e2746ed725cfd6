/// \file
/// Heads of HTTP/1.1 messages, and an incremental reader of one message.
/// Boost.Beast's parser handles the syntax. evhttp is not used here because it
/// hides what a proxy must detect: bytes after a complete answer, an answer
/// that ends early, and an answer that arrives before the request was read.
#ifndef GREENGAGESPAR_HTTP_MESSAGE_H
#define GREENGAGESPAR_HTTP_MESSAGE_H

#include <boost/beast/http/basic_parser.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace greengagespar {

/// One header field.
struct HttpField {
  std::string Name;
  std::string Value;
};

/// The header fields of a message in the order in which they arrived.
using HttpFields = std::vector<HttpField>;

/// Whether two header names are equal, ignoring case. Thread safe.
bool isSameField(std::string_view a, std::string_view b);

/// Returns the value of the first field \p name, or null if there is none.
/// Thread safe.
const std::string *findField(const HttpFields &fields, std::string_view name);

/// Returns how many fields are named \p name. Thread safe.
std::size_t countFields(const HttpFields &fields, std::string_view name);

/// Whether a field \p name holds \p token in its comma-separated list.
bool fieldHasToken(const HttpFields &fields, std::string_view name,
                   std::string_view token);

/// Removes the hop-by-hop fields, which concern one connection only: those of
/// RFC 9110, section 7.6.1, and those that the field Connection names.
void removeHopByHopFields(HttpFields &fields);

/// The first line and the header fields of a message.
struct HttpHead {
  std::string Method; ///< Of a request; empty in an answer.
  std::string Target; ///< Of a request: path and query, as sent.
  int Status = 0;     ///< Of an answer; 0 in a request.
  std::string Reason; ///< Reason phrase of an answer.
  HttpFields Fields;
  int Version = 11;       ///< 10 for HTTP/1.0, 11 for HTTP/1.1.
  bool IsChunked = false; ///< The body has chunked transfer encoding.
  /// Content-Length in bytes; empty if the message has none.
  std::optional<std::uint64_t> Length;
};

/// Whether the sender of \p head will close its connection after the message.
bool closesAfter(const HttpHead &head);

/// Appends \p fields and the empty line that ends a head to \p out.
void appendFields(std::string &out, const HttpFields &fields);

/// Returns the bytes of a request. Adds Content-Length if there is a body, or
/// \p method is one that has a body, and \p fields does not state it. Thread
/// safe. Precondition: no argument but \p body holds the end of a line.
std::string requestText(std::string_view method, std::string_view target,
                        HttpFields fields, std::string_view body);

/// Returns the usual reason phrase of \p status. Thread safe.
std::string_view reasonPhrase(int status);

/// Progress of a reader.
enum class ReadState {
  Head,     ///< The head is not complete.
  Body,     ///< The head is complete, the body is not.
  Complete, ///< The message is complete; later bytes are not part of it.
  Broken,   ///< The bytes are refused; see ReadFault.
};

/// Why a reader refused the bytes.
enum class ReadFault { None, Malformed, HeadTooLarge, BodyTooLarge };

/// Limits on the size of a message.
struct MessageLimits {
  std::uint32_t MaxHeadBytes = 16384;
  std::uint64_t MaxBodyBytes = 4194304;
};

namespace detail {

/// Collects the head, and passes on the body, as Beast's parser reports them.
template <bool IsRequest>
class HeadCollector : public boost::beast::http::basic_parser<IsRequest> {
public:
  HttpHead Head;
  std::function<void(std::string_view)> OnBody;
  bool IsHeadComplete = false;

private:
  using ErrorCode = boost::beast::error_code;
  using View = boost::beast::string_view;

  void on_request_impl(boost::beast::http::verb, View method, View target, int,
                       ErrorCode &) override;
  void on_response_impl(int status, View reason, int, ErrorCode &) override;
  void on_field_impl(boost::beast::http::field, View name, View value,
                     ErrorCode &) override;
  void on_header_impl(ErrorCode &) override;
  void on_body_init_impl(boost::optional<std::uint64_t> const &,
                         ErrorCode &) override;
  std::size_t on_body_impl(View body, ErrorCode &) override;
  void on_chunk_header_impl(std::uint64_t, View, ErrorCode &) override;
  std::size_t on_chunk_body_impl(std::uint64_t, View body,
                                 ErrorCode &) override;
  void on_finish_impl(ErrorCode &) override;
};

} // namespace detail

/// Reads one message; each further message needs a new reader. Not thread safe.
template <bool IsRequest> class MessageReader {
public:
  /// \p onBody receives the body bytes as they arrive, without their framing.
  MessageReader(const MessageLimits &limits,
                std::function<void(std::string_view)> onBody);

  /// Parses \p bytes and returns how many of them it consumed. The caller
  /// passes the rest again once more bytes have arrived behind it; when the
  /// message is complete, the rest is not part of it.
  std::size_t take(std::string_view bytes);

  /// Handles the end of the sender's bytes. A message whose body ends with the
  /// connection becomes Complete; any other unfinished message becomes Broken.
  void takeEnd();

  /// Makes the reader of an answer expect no body, as after a HEAD request.
  void expectNoBody() { Parser.skip(true); }

  ReadState state() const { return State; }
  ReadFault fault() const { return Fault; }
  /// The message's head; complete once the state is no longer Head.
  const HttpHead &head() const { return Parser.Head; }

private:
  void refuse(ReadFault why);
  std::size_t checkHead(std::string_view bytes);

  detail::HeadCollector<IsRequest> Parser;
  MessageLimits Limits;
  ReadState State = ReadState::Head;
  ReadFault Fault = ReadFault::None;
};

using RequestReader = MessageReader<true>;
using ResponseReader = MessageReader<false>;

} // namespace greengagespar

#endif // GREENGAGESPAR_HTTP_MESSAGE_H
