package io.vanillapoint.api.event;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks that {@link EventCode} and docs/EVENTS.md list the same events. */
class EventCatalogueTest {
    private static final Path PAGE = Path.of("..", "docs", "EVENTS.md");

    @Test
    void eventsPageMatchesEventCode() throws IOException {
        List<String> page =
                Files.readString(PAGE)
                        .lines()
                        .filter(line -> line.matches("\\| \\d+ .*"))
                        .map(line -> line.substring(0, line.lastIndexOf('|', line.length() - 2)))
                        .toList();
        List<String> code = Arrays.stream(EventCode.values()).map(EventCatalogueTest::row).toList();
        assertThat(page, is(code));
    }

    @Test
    void numbersAreUnique() {
        long distinct =
                Arrays.stream(EventCode.values()).mapToInt(EventCode::number).distinct().count();
        assertThat(distinct, is((long) EventCode.values().length));
    }

    private static String row(EventCode code) {
        return "| "
                + String.join(
                        " | ",
                        String.valueOf(code.number()),
                        code.level().name(),
                        code.title(),
                        String.join(", ", code.fields()))
                + " ";
    }
}
