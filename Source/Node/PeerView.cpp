#include "Node/PeerView.h"

#include "Loop/EventLoop.h"

#include <exception>
#include <msgpack.hpp>
#include <utility>

namespace turmericpass {

namespace {

constexpr unsigned ProtocolVersion = 1;
constexpr std::uint32_t FieldCount = 3;
constexpr std::uint32_t FieldsPerRow = 3;

/// The timeout of a request, after which another VM may be asked.
constexpr Duration ViewRequestTimeout = std::chrono::milliseconds(800);
constexpr Duration ViewConnectTimeout = std::chrono::milliseconds(300);

/// The maximum size of a view, which has some hundred bytes for each server.
constexpr std::size_t MaxViewBytes = std::size_t{8} << 20U;

constexpr int Ok = 200;

StoreView readView(const msgpack::object &Object) {
  if (Object.type != msgpack::type::ARRAY ||
      Object.via.array.size != FieldCount ||
      Object.via.array.ptr[0].as<unsigned>() != ProtocolVersion)
    throw msgpack::type_error();
  StoreView View;
  Object.via.array.ptr[1].convert(View.Settings);
  const msgpack::object &Rows = Object.via.array.ptr[2];
  if (Rows.type != msgpack::type::ARRAY ||
      Rows.via.array.size % FieldsPerRow != 0)
    throw msgpack::type_error();
  for (std::uint32_t I = 0; I < Rows.via.array.size; I += FieldsPerRow) {
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
  Out.pack_array(
      static_cast<std::uint32_t>(FieldsPerRow * View.Servers.size()));
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
                   std::string("Cannot decode a store view: ") + Thrown.what() +
                       ".");
  }
}

StoreViewClient::StoreViewClient(EventLoop &Loop, BackendChannels &Channels,
                                 std::string Path, ReceiveCallback Callback)
    : Loop(Loop), Channels(Channels), Path(std::move(Path)),
      Callback(std::move(Callback)) {}

void StoreViewClient::requestFrom(const std::string &Address) {
  if (this->PendingRequest != 0)
    return;
  BackendRequest Order;
  Order.Address = Address;
  Order.ConnectTime = ViewConnectTimeout;
  Order.MaxBodyBytes = MaxViewBytes;
  Order.Request.Method = "GET";
  Order.Request.Target = this->Path;
  Order.Request.Headers = {{"Host", Address}};
  this->PeerAddress = Address;
  this->Body.clear();
  this->PendingRequest = this->Channels.send(std::move(Order), *this);
  this->Loop.after(ViewRequestTimeout, [this, Id = this->PendingRequest] {
    if (this->PendingRequest != Id)
      return;
    this->Channels.cancel(Id);
    this->PendingRequest = 0;
  });
}

void StoreViewClient::answerHead(SendId, const RawHead &Head) {
  this->Status = Head.Status;
}

void StoreViewClient::answerBody(SendId, std::string_view Bytes) {
  this->Body.append(Bytes);
}

void StoreViewClient::answerDone(SendId) {
  this->PendingRequest = 0;
  if (this->Status != Ok)
    return;
  if (const Result<StoreView> View = decodeView(this->Body))
    this->Callback(this->PeerAddress, *View);
}

void StoreViewClient::sendFailed(SendId, SendFailure, std::string_view) {
  // The next periodic request selects a VM again.
  this->PendingRequest = 0;
}

} // namespace turmericpass
