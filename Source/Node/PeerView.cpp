#include "Node/PeerView.h"

#include "Loop/EventLoop.h"

#include <exception>
#include <msgpack.hpp>
#include <utility>

namespace turmericpass {

namespace {

constexpr unsigned ProtocolVersion = 1;
constexpr std::uint32_t FieldCount = 3;
constexpr std::uint32_t RowFields = 3;

/// How long another VM is waited for before the next one may be asked.
constexpr Duration AskTime = std::chrono::milliseconds(800);
constexpr Duration AskConnectTime = std::chrono::milliseconds(300);

constexpr int Ok = 200;

StoreView readView(const msgpack::object &Object) {
  if (Object.type != msgpack::type::ARRAY ||
      Object.via.array.size != FieldCount ||
      Object.via.array.ptr[0].as<unsigned>() != ProtocolVersion)
    throw msgpack::type_error();
  StoreView View;
  Object.via.array.ptr[1].convert(View.Settings);
  const msgpack::object &Rows = Object.via.array.ptr[2];
  if (Rows.type != msgpack::type::ARRAY || Rows.via.array.size % RowFields != 0)
    throw msgpack::type_error();
  for (std::uint32_t I = 0; I < Rows.via.array.size; I += RowFields) {
    StoredRow Row;
    Rows.via.array.ptr[I].convert(Row.Key);
    Rows.via.array.ptr[I + 1].convert(Row.Value);
    Rows.via.array.ptr[I + 2].convert(Row.Version);
    View.Servers.push_back(std::move(Row));
  }
  return View;
}

} // namespace

std::string encodeView(const StoreView &View) {
  msgpack::sbuffer Buffer;
  msgpack::packer<msgpack::sbuffer> Out(Buffer);
  Out.pack_array(FieldCount);
  Out.pack(ProtocolVersion);
  Out.pack(View.Settings);
  Out.pack_array(static_cast<std::uint32_t>(RowFields * View.Servers.size()));
  for (const StoredRow &Row : View.Servers) {
    Out.pack(Row.Key);
    Out.pack(Row.Value);
    Out.pack(Row.Version);
  }
  return {Buffer.data(), Buffer.size()};
}

Result<StoreView> decodeView(std::string_view Bytes) {
  try {
    const msgpack::object_handle Handle =
        msgpack::unpack(Bytes.data(), Bytes.size());
    return readView(Handle.get());
  } catch (const std::exception &Thrown) {
    return failure(ErrorCode::Malformed,
                   std::string("A view of the store cannot be read: ") +
                       Thrown.what() + ".");
  }
}

PeerViewClient::PeerViewClient(EventLoop &Loop, BackendChannels &Channels,
                               Received Told)
    : Loop(Loop), Channels(Channels), Told(std::move(Told)) {}

void PeerViewClient::ask(const std::string &Address) {
  if (this->Asked != 0)
    return;
  BackendRequest Order;
  Order.Address = Address;
  Order.ConnectTime = AskConnectTime;
  Order.Request.Method = "GET";
  Order.Request.Target = Path;
  Order.Request.Headers = {{"Host", Address}};
  this->From = Address;
  this->Body.clear();
  this->Asked = this->Channels.send(std::move(Order), *this);
  this->Loop.after(AskTime, [this, Id = this->Asked] {
    if (this->Asked != Id)
      return;
    this->Channels.cancel(Id);
    this->Asked = 0;
  });
}

void PeerViewClient::answerHead(SendId, const RawHead &Head) {
  this->Status = Head.Status;
}

void PeerViewClient::answerBody(SendId, std::string_view Bytes) {
  this->Body.append(Bytes);
}

void PeerViewClient::answerDone(SendId) {
  this->Asked = 0;
  if (this->Status != Ok)
    return;
  if (const Result<StoreView> View = decodeView(this->Body))
    this->Told(this->From, *View);
}

void PeerViewClient::sendFailed(SendId, SendFailure, std::string_view) {
  // Another VM is asked in the next round.
  this->Asked = 0;
}

} // namespace turmericpass
