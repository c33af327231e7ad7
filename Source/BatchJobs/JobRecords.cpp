#include "BatchJobs/JobRecords.h"

#include <algorithm>
#include <exception>
#include <msgpack.hpp>

namespace turmericpass {

namespace {

/// The first field of each record. Records of other versions are rejected as
/// malformed because their fields may have a different meaning.
constexpr unsigned RecordVersion = 1;

template <typename F> void visitFields(JobMetadata &R, F Visit) {
  Visit(R.Host, R.Target, R.Route, R.Owner, R.Epoch, R.AcceptedAtMillis,
        R.TotalItems, R.TotalTokens, R.CommittedItems, R.CommittedTokens,
        R.Cancelled, R.WriteId, R.Organisation);
}
template <typename F> void visitFields(JobItem &R, F Visit) {
  Visit(R.Id, R.Target, R.Headers, R.Body, R.Tokens);
}
template <typename F> void visitFields(ItemResult &R, F Visit) {
  Visit(R.ItemId, R.Succeeded, R.Output);
}
template <typename F> void visitFields(ItemProgress &R, F Visit) {
  Visit(R.Index, R.LastEventId, R.Output, R.Failures, R.HasEvents,
        R.Crashes.Crashes, R.Crashes.Trials, R.Crashes.EventsBeforeCrash);
}

/// The number of fields that each record has, also one of an earlier version.
/// Later fields keep their default values if they are missing.
template <typename R> constexpr std::size_t RequiredFields = SIZE_MAX;
template <> constexpr std::size_t RequiredFields<ItemProgress> = 3;
template <> constexpr std::size_t RequiredFields<JobMetadata> = 12;

/// The number of last fields that are left out because they have their default
/// values. Earlier versions can read such a record.
template <typename R> std::size_t omittedFields(const R &) { return 0; }
template <> std::size_t omittedFields(const JobMetadata &R) {
  return R.Organisation.empty() ? 1 : 0;
}

template <typename R>
void packRecord(msgpack::packer<msgpack::sbuffer> &Out, const R &Record) {
  R Copy = Record;
  visitFields(Copy, [&](auto &...Fields) {
    const std::size_t Count = sizeof...(Fields) - omittedFields(Record);
    Out.pack_array(static_cast<std::uint32_t>(1 + Count));
    Out.pack(RecordVersion);
    std::size_t Index = 0;
    const auto PackNext = [&](const auto &Field) {
      if (Index++ < Count)
        Out.pack(Field);
    };
    (PackNext(Fields), ...);
  });
}

template <typename R> std::string encodeRecord(const R &Record) {
  msgpack::sbuffer Buffer;
  msgpack::packer<msgpack::sbuffer> Out(Buffer);
  packRecord(Out, Record);
  return {Buffer.data(), Buffer.size()};
}

template <typename R> R unpackRecord(const msgpack::object &Object) {
  R Record;
  visitFields(Record, [&](auto &...Fields) {
    constexpr std::size_t Required =
        std::min(RequiredFields<R>, sizeof...(Fields));
    if (Object.type != msgpack::type::ARRAY ||
        Object.via.array.size < 1 + Required ||
        Object.via.array.size > 1 + sizeof...(Fields) ||
        Object.via.array.ptr[0].as<unsigned>() != RecordVersion)
      throw msgpack::type_error();
    const std::size_t Size = Object.via.array.size;
    std::size_t Index = 1;
    const auto ReadNext = [&](auto &Field) {
      if (Index < Size)
        Object.via.array.ptr[Index++].convert(Field);
    };
    (ReadNext(Fields), ...);
  });
  return Record;
}

/// Unpacks \p Bytes and passes the object to \p Unpack. MessagePack reports
/// malformed input by exceptions, which are converted to errors here so that
/// none leaves this file.
template <typename R, typename F>
Result<R> decodeWith(std::string_view Bytes, const char *RecordKind, F Unpack) {
  try {
    const msgpack::object_handle Handle =
        msgpack::unpack(Bytes.data(), Bytes.size());
    return Unpack(Handle.get());
  } catch (const std::exception &Thrown) {
    return failure(ErrorCode::Malformed,
                   std::string("A stored ") + RecordKind +
                       " cannot be read: " + Thrown.what() + ".");
  }
}

template <typename R>
Result<R> decodeRecord(std::string_view Bytes, const char *RecordKind) {
  return decodeWith<R>(Bytes, RecordKind, unpackRecord<R>);
}

} // namespace

std::string encodeMetadata(const JobMetadata &Metadata) {
  return encodeRecord(Metadata);
}

Result<JobMetadata> decodeMetadata(std::string_view Bytes) {
  return decodeRecord<JobMetadata>(Bytes, "job metadata record");
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
          Items.push_back(unpackRecord<JobItem>(Object.via.array.ptr[I]));
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
