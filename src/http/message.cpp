#include "greengagespar/http/message.h"

#include "greengagespar/base/http_status.h"
#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

namespace greengagespar {

namespace bh = boost::beast::http;

namespace {

constexpr std::array<std::string_view, 8> HopByHop = {
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade",          "Content-Length"};

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
    text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
    text.remove_suffix(1);
  return text;
}

template <class Use> void forEachToken(std::string_view list, Use use) {
  while (!list.empty()) {
    std::size_t n = std::min(list.find(','), list.size());
    use(trimmed(list.substr(0, n)));
    list.remove_prefix(std::min(n + 1, list.size()));
  }
}

// Whether the head has a folded line or a line that ends without a carriage
// return. Two programs may interpret either of them differently.
bool hasAmbiguousLines(std::string_view head) {
  for (std::size_t i = head.find('\n'); i != std::string_view::npos;
       i = head.find('\n', i + 1)) {
    bool isBare = i == 0 || head[i - 1] != '\r';
    bool isFolded =
        i + 1 < head.size() && (head[i + 1] == ' ' || head[i + 1] == '\t');
    if (isBare || isFolded)
      return true;
  }
  return false;
}

// Whether a status line begins behind the first bytes of the head: those before
// it are the rest of another answer, whose status and fields must not be taken
// for those of the answer that follows.
bool hasSecondStatusLine(std::string_view head) {
  constexpr std::string_view start = "HTTP/1.";
  auto isDigit = [&](std::size_t at) {
    return at < head.size() && head[at] >= '0' && head[at] <= '9';
  };
  for (std::size_t i = head.find(start, 1); i != std::string_view::npos;
       i = head.find(start, i + 1)) {
    std::size_t version = i + start.size();
    bool hasStatus = isDigit(version + 2) && isDigit(version + 3) &&
                     isDigit(version + 4) && head[version + 1] == ' ';
    if (isDigit(version) && hasStatus)
      return true;
  }
  return false;
}

// Whether two programs may disagree on where the body ends.
bool hasAmbiguousLength(const HttpHead &head) {
  std::size_t lengths = countFields(head.Fields, "Content-Length");
  std::size_t encodings = countFields(head.Fields, "Transfer-Encoding");
  if (lengths + encodings > 1)
    return true;
  const std::string *encoding = findField(head.Fields, "Transfer-Encoding");
  return encoding && !isSameField(*encoding, "chunked");
}

bool isHeadLimitError(const boost::beast::error_code &ec) {
  return ec == bh::error::header_limit;
}

} // namespace

bool isSameField(std::string_view a, std::string_view b) {
  return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

const std::string *findField(const HttpFields &fields, std::string_view name) {
  for (const HttpField &it : fields)
    if (isSameField(it.Name, name))
      return &it.Value;
  return nullptr;
}

std::size_t countFields(const HttpFields &fields, std::string_view name) {
  return static_cast<std::size_t>(std::ranges::count_if(
      fields, [&](const HttpField &it) { return isSameField(it.Name, name); }));
}

bool fieldHasToken(const HttpFields &fields, std::string_view name,
                   std::string_view token) {
  bool found = false;
  for (const HttpField &it : fields)
    if (isSameField(it.Name, name))
      forEachToken(it.Value, [&](std::string_view each) {
        found = found || isSameField(each, token);
      });
  return found;
}

void removeHopByHopFields(HttpFields &fields) {
  std::vector<std::string> named;
  for (const HttpField &it : fields)
    if (isSameField(it.Name, "Connection"))
      forEachToken(it.Value,
                   [&](std::string_view each) { named.emplace_back(each); });
  std::erase_if(fields, [&](const HttpField &it) {
    auto matches = [&](std::string_view name) {
      return isSameField(it.Name, name);
    };
    return std::ranges::any_of(HopByHop, matches) ||
           std::ranges::any_of(named, matches);
  });
}

bool closesAfter(const HttpHead &head) {
  if (fieldHasToken(head.Fields, "Connection", "close"))
    return true;
  return head.Version < 11 &&
         !fieldHasToken(head.Fields, "Connection", "keep-alive");
}

void appendFields(std::string &out, const HttpFields &fields) {
  for (const HttpField &it : fields) {
    out += it.Name;
    out += ": ";
    out += it.Value;
    out += "\r\n";
  }
  out += "\r\n";
}

std::string requestText(std::string_view method, std::string_view target,
                        HttpFields fields, std::string_view body) {
  bool hasLength = !body.empty() || method == "POST" || method == "PUT";
  if (hasLength && !findField(fields, "Content-Length"))
    fields.push_back({"Content-Length", std::to_string(body.size())});
  std::string out(method);
  out += ' ';
  out += target;
  out += " HTTP/1.1\r\n";
  appendFields(out, fields);
  out += body;
  return out;
}

std::string_view reasonPhrase(int status) {
  auto text =
      bh::obsolete_reason(bh::int_to_status(static_cast<unsigned>(status)));
  return {text.data(), text.size()};
}

namespace detail {

template <bool R>
void HeadCollector<R>::on_request_impl(bh::verb, View method, View target,
                                       int version, ErrorCode &) {
  Head.Version = version;
  Head.Method.assign(method.data(), method.size());
  Head.Target.assign(target.data(), target.size());
}

template <bool R>
void HeadCollector<R>::on_response_impl(int status, View reason, int version,
                                        ErrorCode &ec) {
  if (!isHttpStatus(status)) {
    ec = bh::error::bad_status;
    return;
  }
  Head.Version = version;
  Head.Status = status;
  Head.Reason.assign(reason.data(), reason.size());
}

template <bool R>
void HeadCollector<R>::on_field_impl(bh::field, View name, View value,
                                     ErrorCode &) {
  // Trailer fields, which follow the body, are not passed on.
  if (!IsHeadComplete)
    Head.Fields.push_back({std::string(name), std::string(value)});
}

template <bool R> void HeadCollector<R>::on_header_impl(ErrorCode &) {
  IsHeadComplete = true;
  Head.IsChunked = this->chunked();
  if (auto n = this->content_length())
    Head.Length = *n;
}

template <bool R>
void HeadCollector<R>::on_body_init_impl(boost::optional<std::uint64_t> const &,
                                         ErrorCode &) {}

template <bool R>
std::size_t HeadCollector<R>::on_body_impl(View body, ErrorCode &) {
  OnBody({body.data(), body.size()});
  return body.size();
}

template <bool R>
void HeadCollector<R>::on_chunk_header_impl(std::uint64_t, View, ErrorCode &) {}

template <bool R>
std::size_t HeadCollector<R>::on_chunk_body_impl(std::uint64_t, View body,
                                                 ErrorCode &) {
  OnBody({body.data(), body.size()});
  return body.size();
}

template <bool R> void HeadCollector<R>::on_finish_impl(ErrorCode &) {}

} // namespace detail

template <bool R>
MessageReader<R>::MessageReader(const MessageLimits &limits,
                                std::function<void(std::string_view)> onBody)
    : Limits(limits) {
  Parser.OnBody.swap(onBody);
  // take() looks at the elements of the message one by one.
  Parser.eager(false);
  Parser.header_limit(limits.MaxHeadBytes);
  Parser.body_limit(limits.MaxBodyBytes);
}

template <bool R> void MessageReader<R>::refuse(ReadFault why) {
  State = ReadState::Broken;
  Fault = why;
}

// Checks the whole head before the parser reads it, since the parser does not
// report folded lines. Returns the length of the head in bytes, or 0 while the
// head is not complete.
template <bool R>
std::size_t MessageReader<R>::checkHead(std::string_view bytes) {
  std::size_t end = bytes.find("\r\n\r\n");
  bool isComplete = end != std::string_view::npos;
  std::size_t size = isComplete ? end + 4 : bytes.size();
  if (size > Limits.MaxHeadBytes)
    refuse(ReadFault::HeadTooLarge);
  else if (hasAmbiguousLines(bytes.substr(0, size)) ||
           (!R && hasSecondStatusLine(bytes.substr(0, size))))
    refuse(ReadFault::Malformed);
  return isComplete ? size : 0;
}

template <bool R> std::size_t MessageReader<R>::take(std::string_view bytes) {
  if (State == ReadState::Head) {
    std::size_t size = checkHead(bytes);
    if (State == ReadState::Broken || size == 0)
      return 0;
  }
  std::size_t used = 0;
  while (used < bytes.size() && State != ReadState::Complete) {
    boost::beast::error_code ec;
    std::size_t n = Parser.put(
        boost::asio::const_buffer(bytes.data() + used, bytes.size() - used),
        ec);
    used += n;
    if (ec == bh::error::need_more)
      ec = {};
    else if (ec && ec != bh::error::end_of_stream) {
      refuse(isHeadLimitError(ec)          ? ReadFault::HeadTooLarge
             : ec == bh::error::body_limit ? ReadFault::BodyTooLarge
                                           : ReadFault::Malformed);
      return used;
    }
    if (State == ReadState::Head && Parser.IsHeadComplete) {
      State = ReadState::Body;
      if (hasAmbiguousLength(Parser.Head)) {
        refuse(ReadFault::Malformed);
        return used;
      }
    }
    if (Parser.is_done())
      State = ReadState::Complete;
    // The last element of a message in chunks is its last chunk with the
    // trailer, of which the parser does not report folded lines either.
    if (Parser.is_done() && Parser.Head.IsChunked &&
        hasAmbiguousLines(bytes.substr(used - n, n))) {
      refuse(ReadFault::Malformed);
      return used;
    }
    if (n == 0)
      break;
  }
  return used;
}

template <bool R> void MessageReader<R>::takeEnd() {
  if (State == ReadState::Complete || State == ReadState::Broken)
    return;
  boost::beast::error_code ec;
  if (State == ReadState::Body)
    Parser.put_eof(ec);
  if (State == ReadState::Body && !ec && Parser.is_done())
    State = ReadState::Complete;
  else
    refuse(ReadFault::Malformed);
}

template class MessageReader<true>;
template class MessageReader<false>;

} // namespace greengagespar
