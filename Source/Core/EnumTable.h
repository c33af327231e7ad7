#ifndef TURMERICPASS_CORE_ENUMTABLE_H
#define TURMERICPASS_CORE_ENUMTABLE_H

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace turmericpass {

/// One enumerator and its name in files, messages and logs.
template <typename E> struct EnumEntry {
  E Value;
  std::string_view Name;
};

/// Maps the enumerators of \p E to names and back.
template <typename E, std::size_t N> class EnumTable {
public:
  constexpr explicit EnumTable(const EnumEntry<E> (&Source)[N]) : Entries{} {
    for (std::size_t I = 0; I < N; ++I)
      this->Entries[I] = Source[I];
  }

  /// Returns the name of \p Value, or "unknown" for a value outside the table.
  constexpr std::string_view nameOf(E Value) const {
    for (const EnumEntry<E> &Entry : this->Entries)
      if (Entry.Value == Value)
        return Entry.Name;
    return "unknown";
  }

  /// Returns the enumerator called \p Name, if there is one.
  constexpr std::optional<E> valueOf(std::string_view Name) const {
    for (const EnumEntry<E> &Entry : this->Entries)
      if (Entry.Name == Name)
        return Entry.Value;
    return std::nullopt;
  }

  constexpr const std::array<EnumEntry<E>, N> &entries() const {
    return this->Entries;
  }

private:
  std::array<EnumEntry<E>, N> Entries;
};

template <typename E, std::size_t N>
constexpr EnumTable<E, N> makeEnumTable(const EnumEntry<E> (&Source)[N]) {
  return EnumTable<E, N>(Source);
}

} // namespace turmericpass

#endif
