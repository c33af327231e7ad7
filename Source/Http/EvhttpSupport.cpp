#include "Http/EvhttpSupport.h"

#include "Core/EnumTable.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace turmericpass {

namespace {

constexpr auto MethodNames = makeEnumTable<evhttp_cmd_type>({
    {EVHTTP_REQ_GET, "GET"},
    {EVHTTP_REQ_POST, "POST"},
    {EVHTTP_REQ_HEAD, "HEAD"},
    {EVHTTP_REQ_PUT, "PUT"},
    {EVHTTP_REQ_DELETE, "DELETE"},
    {EVHTTP_REQ_OPTIONS, "OPTIONS"},
    {EVHTTP_REQ_PATCH, "PATCH"},
});

} // namespace

HttpHeaders copyHeaders(const evkeyvalq *From) {
  HttpHeaders Headers;
  for (const evkeyval *Pair = From->tqh_first; Pair; Pair = Pair->next.tqe_next)
    Headers.emplace_back(Pair->key, Pair->value);
  return Headers;
}

void addHeaders(evkeyvalq *To, const HttpHeaders &Headers) {
  // evhttp itself rejects headers that contain a line break.
  for (const auto &[Key, Value] : Headers)
    evhttp_add_header(To, Key.c_str(), Value.c_str());
}

std::string drainBuffer(evbuffer *Buffer) {
  std::string Bytes(evbuffer_get_length(Buffer), '\0');
  evbuffer_remove(Buffer, Bytes.data(), Bytes.size());
  return Bytes;
}

std::string methodName(evhttp_request *Request) {
  return std::string(MethodNames.nameOf(evhttp_request_get_command(Request)));
}

} // namespace turmericpass
