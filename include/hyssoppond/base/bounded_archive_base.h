/// @file Input archive for cereal that reads untrusted bytes safely.
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cereal/types/common.hpp>

#include <bit>
#include <cstdint>
#include <cstring>
#include <string_view>

namespace hyssoppond {

/// Reads what cereal's PortableBinaryOutputArchive wrote on a little-endian machine. A container
/// size larger than the remaining input throws cereal::Exception; cereal's own archive would
/// allocate the claimed size first.
class bounded_input_archive
    : public cereal::InputArchive<bounded_input_archive, cereal::AllowEmptyClassElision>
{
public:
    explicit bounded_input_archive(std::string_view bytes)
        : cereal::InputArchive<bounded_input_archive, cereal::AllowEmptyClassElision>(this)
        , m_remaining(bytes)
    {
        static_assert(std::endian::native == std::endian::little);
        std::uint8_t littleEndian = 0;
        readBytes(&littleEndian, 1);
        if (littleEndian != 1)
            throw cereal::Exception("archive is not little-endian");
    }

    /// Bytes that have not been read yet.
    std::size_t remaining() const { return m_remaining.size(); }

    /// Copies the next `size` bytes to `target`. Throws cereal::Exception if fewer remain.
    void readBytes(void *target, std::size_t size)
    {
        if (size > m_remaining.size())
            throw cereal::Exception("input is truncated");
        // An empty container may have no storage, and memcpy takes no null pointer.
        if (size != 0)
            std::memcpy(target, m_remaining.data(), size);
        m_remaining.remove_prefix(size);
    }

private:
    std::string_view m_remaining;
};

/// Reads a number. Hook of cereal.
template<class number>
std::enable_if_t<std::is_arithmetic_v<number>> load(bounded_input_archive &ar, number &value)
{
    if constexpr (std::is_same_v<number, bool>) {
        std::uint8_t byte = 0;
        ar.readBytes(&byte, 1);
        value = byte != 0;
    } else {
        ar.readBytes(&value, sizeof value);
    }
}

/// Reads the value of a named member. Hook of cereal.
template<class value>
void serialize(bounded_input_archive &ar, cereal::NameValuePair<value> &pair)
{
    ar(pair.value);
}

/// Reads the size of a container. Each element takes at least one byte of input, so a size above
/// the remaining bytes is invalid and throws cereal::Exception. Hook of cereal.
template<class value>
void serialize(bounded_input_archive &ar, cereal::SizeTag<value> &tag)
{
    ar(tag.size);
    if (tag.size > ar.remaining())
        throw cereal::Exception("container is larger than the input");
}

/// Reads a block of bytes. Hook of cereal.
template<class value>
void load(bounded_input_archive &ar, cereal::BinaryData<value> &data)
{
    ar.readBytes(data.data, static_cast<std::size_t>(data.size));
}

} // namespace hyssoppond

/// Hook of cereal: names the output archive whose format this input archive reads.
template<>
struct cereal::traits::detail::get_output_from_input<hyssoppond::bounded_input_archive>
{
    using type = cereal::PortableBinaryOutputArchive;
};
