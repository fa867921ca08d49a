/// @file Input archive for cereal's portable binary format that checks sizes before it allocates.
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/common.hpp>

#include <cstdint>
#include <cstring>
#include <string_view>
#include <type_traits>

namespace hyssoppond {

/// Reads from memory. cereal's own archive resizes a string to the announced length before it reads
/// the bytes, so that eight damaged bytes can make it allocate gigabytes; this one throws instead.
class bounded_input_archive
    : public cereal::InputArchive<bounded_input_archive, cereal::AllowEmptyClassElision>
{
public:
    /// Throws cereal::Exception unless the input is little-endian, the order that we write.
    explicit bounded_input_archive(std::string_view bytes)
        : InputArchive(this)
        , m_rest(bytes)
    {
        std::uint8_t littleEndian = 0;
        read(&littleEndian, 1);
        if (littleEndian != 1)
            throw cereal::Exception("byte order is not little-endian");
    }

    bool atEnd() const { return m_rest.empty(); }

    /// Copies `size` bytes; throws cereal::Exception if fewer are left.
    void read(void *to, std::size_t size)
    {
        requireBytes(size);
        std::memcpy(to, m_rest.data(), size);
        m_rest.remove_prefix(size);
    }
    void requireBytes(std::uint64_t size) const
    {
        if (size > m_rest.size())
            throw cereal::Exception("input ends early");
    }

private:
    std::string_view m_rest;
};

/// Hooks of cereal.
template<class value>
std::enable_if_t<std::is_arithmetic_v<value>> load(bounded_input_archive &ar, value &what)
{
    if constexpr (std::is_same_v<value, bool>) {
        std::uint8_t byte = 0;
        ar.read(&byte, 1);
        what = byte != 0;
    } else {
        ar.read(&what, sizeof(what));
    }
}

template<class value>
void load(bounded_input_archive &ar, cereal::BinaryData<value> &what)
{
    ar.read(what.data, static_cast<std::size_t>(what.size));
}

template<class value>
void load(bounded_input_archive &ar, cereal::SizeTag<value> &what)
{
    ar(what.size);
    ar.requireBytes(what.size);
}

} // namespace hyssoppond

/// Names the archive that writes what bounded_input_archive reads; cereal looks it up for types
/// with save_minimal.
template<>
struct cereal::traits::detail::get_output_from_input<hyssoppond::bounded_input_archive>
{
    using type = cereal::PortableBinaryOutputArchive;
};
