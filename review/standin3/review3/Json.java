package review3;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, texts, numbers and booleans. */
final class Json {
    private final String mText;
    private int mAt;

    private Json(String text) {
        mText = text;
    }

    static Object read(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) read(text);
    }

    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> list(Map<String, Object> map, String name) {
        return (List<Map<String, Object>>) map.getOrDefault(name, List.of());
    }

    static long number(Map<String, Object> map, String name) {
        return map.get(name) instanceof Number n ? n.longValue() : 0;
    }

    static String text(Map<String, Object> map, String name) {
        return map.get(name) instanceof String s ? s : "";
    }

    private Object value() {
        skip();
        char c = mText.charAt(mAt);
        switch (c) {
            case '{':
                return map();
            case '[':
                return array();
            case '"':
                return string();
            default:
                return literal();
        }
    }

    private Map<String, Object> map() {
        Map<String, Object> map = new LinkedHashMap<>();
        mAt++;
        skip();
        while (mText.charAt(mAt) != '}') {
            String name = string();
            skip();
            mAt++; // the colon
            map.put(name, value());
            skip();
            if (mText.charAt(mAt) == ',') {
                mAt++;
                skip();
            }
        }
        mAt++;
        return map;
    }

    private List<Object> array() {
        List<Object> list = new ArrayList<>();
        mAt++;
        skip();
        while (mText.charAt(mAt) != ']') {
            list.add(value());
            skip();
            if (mText.charAt(mAt) == ',') {
                mAt++;
                skip();
            }
        }
        mAt++;
        return list;
    }

    private String string() {
        int from = ++mAt;
        int end = mText.indexOf('"', from);
        int escape = mText.indexOf('\\', from);
        if (escape < 0 || escape > end) {
            mAt = end + 1;
            return mText.substring(from, end);
        }
        StringBuilder text = new StringBuilder();
        while (mText.charAt(mAt) != '"') {
            char c = mText.charAt(mAt++);
            if (c != '\\') {
                text.append(c);
                continue;
            }
            char e = mText.charAt(mAt++);
            switch (e) {
                case 'n' -> text.append('\n');
                case 't' -> text.append('\t');
                case 'r' -> text.append('\r');
                case 'b' -> text.append('\b');
                case 'f' -> text.append('\f');
                case 'u' -> {
                    text.append((char) Integer.parseInt(mText.substring(mAt, mAt + 4), 16));
                    mAt += 4;
                }
                default -> text.append(e);
            }
        }
        mAt++;
        return text.toString();
    }

    private Object literal() {
        int from = mAt;
        while (mAt < mText.length() && ",]} \n\r\t".indexOf(mText.charAt(mAt)) < 0) {
            mAt++;
        }
        String word = mText.substring(from, mAt);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?[0-9]+") ? (Object) Long.parseLong(word) : Double.parseDouble(word);
        };
    }

    private void skip() {
        while (mAt < mText.length() && Character.isWhitespace(mText.charAt(mAt))) {
            mAt++;
        }
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String comma = "";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(comma);
                write(entry.getKey().toString(), out);
                out.append(':');
                write(entry.getValue(), out);
                comma = ",";
            }
            out.append('}');
        } else if (value instanceof Iterable<?> list) {
            out.append('[');
            String comma = "";
            for (Object entry : list) {
                out.append(comma);
                write(entry, out);
                comma = ",";
            }
            out.append(']');
        } else if (value instanceof String text) {
            out.append('"');
            for (int i = 0; i < text.length(); i++) {
                char c = text.charAt(i);
                if (c == '"' || c == '\\') {
                    out.append('\\').append(c);
                } else if (c < ' ') {
                    out.append(String.format("\\u%04x", (int) c));
                } else {
                    out.append(c);
                }
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }
}
