#include "BatchJobs/JobRecords.h"

#include <exception>
#include <msgpack.hpp>

namespace turmericpass {

namespace {

/// The first field of each record. A record of another version is refused as
/// malformed, because its fields could mean something else.
constexpr unsigned RecordVersion = 1;

template <typename F> void visitFields(JobMetadata &R, F Visit) {
  Visit(R.Host, R.Target, R.Route, R.Owner, R.Epoch, R.AcceptedAtMillis,
        R.TotalItems, R.TotalTokens, R.ListedItems, R.ListedTokens, R.Ended,
        R.WriteId);
}
template <typename F> void visitFields(JobItem &R, F Visit) {
  Visit(R.Id, R.Target, R.Headers, R.Body, R.Tokens);
}
template <typename F> void visitFields(ItemResult &R, F Visit) {
  Visit(R.ItemId, R.Succeeded, R.Output);
}
template <typename F> void visitFields(ItemProgress &R, F Visit) {
  Visit(R.Index, R.LastEvent, R.Output);
}

template <typename R>
void packRecord(msgpack::packer<msgpack::sbuffer> &Out, const R &Record) {
  R Copy = Record;
  visitFields(Copy, [&](auto &...Fields) {
    Out.pack_array(1 + sizeof...(Fields));
    Out.pack(RecordVersion);
    (Out.pack(Fields), ...);
  });
}

template <typename R> std::string encodeRecord(const R &Record) {
  msgpack::sbuffer Buffer;
  msgpack::packer<msgpack::sbuffer> Out(Buffer);
  packRecord(Out, Record);
  return {Buffer.data(), Buffer.size()};
}

template <typename R> R readRecord(const msgpack::object &Object) {
  R Record;
  visitFields(Record, [&](auto &...Fields) {
    if (Object.type != msgpack::type::ARRAY ||
        Object.via.array.size != 1 + sizeof...(Fields) ||
        Object.via.array.ptr[0].as<unsigned>() != RecordVersion)
      throw msgpack::type_error();
    std::size_t At = 1;
    (Object.via.array.ptr[At++].convert(Fields), ...);
  });
  return Record;
}

/// Runs \p Read on the decoded object; the codec throws on bad bytes, which
/// must not cross the border of this module.
template <typename R, typename F>
Result<R> decodeWith(std::string_view Bytes, const char *What, F Read) {
  try {
    const msgpack::object_handle Handle =
        msgpack::unpack(Bytes.data(), Bytes.size());
    return Read(Handle.get());
  } catch (const std::exception &Thrown) {
    return failure(ErrorCode::Malformed,
                   std::string("A stored ") + What +
                       " cannot be read: " + Thrown.what() + ".");
  }
}

template <typename R>
Result<R> decodeRecord(std::string_view Bytes, const char *What) {
  return decodeWith<R>(Bytes, What, readRecord<R>);
}

} // namespace

std::string encodeHead(const JobMetadata &Head) { return encodeRecord(Head); }

Result<JobMetadata> decodeHead(std::string_view Bytes) {
  return decodeRecord<JobMetadata>(Bytes, "job head");
}

std::string encodeItems(const std::vector<JobItem> &Items) {
  msgpack::sbuffer Buffer;
  msgpack::packer<msgpack::sbuffer> Out(Buffer);
  Out.pack_array(static_cast<std::uint32_t>(Items.size()));
  for (const JobItem &Item : Items)
    packRecord(Out, Item);
  return {Buffer.data(), Buffer.size()};
}

Result<std::vector<JobItem>> decodeItems(std::string_view Bytes) {
  return decodeWith<std::vector<JobItem>>(
      Bytes, "list of items", [](const msgpack::object &Object) {
        if (Object.type != msgpack::type::ARRAY)
          throw msgpack::type_error();
        std::vector<JobItem> Items;
        Items.reserve(Object.via.array.size);
        for (std::uint32_t I = 0; I < Object.via.array.size; ++I)
          Items.push_back(readRecord<JobItem>(Object.via.array.ptr[I]));
        return Items;
      });
}

std::string encodeResult(const ItemResult &Item) { return encodeRecord(Item); }

Result<ItemResult> decodeResult(std::string_view Bytes) {
  return decodeRecord<ItemResult>(Bytes, "result");
}

std::string encodeProgress(const ItemProgress &Item) {
  return encodeRecord(Item);
}

Result<ItemProgress> decodeProgress(std::string_view Bytes) {
  return decodeRecord<ItemProgress>(Bytes, "progress record");
}

} // namespace turmericpass
