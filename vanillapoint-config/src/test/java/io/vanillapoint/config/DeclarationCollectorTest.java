package io.vanillapoint.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vanillapoint.api.finding.Findings;
import io.vanillapoint.api.model.Customer;
import io.vanillapoint.api.model.KeyDigest;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.config.impl.DocumentParser;
import io.vanillapoint.core.config.ParsedValue;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Merges declarations of several teams, reports errors with places and publishes values. */
class DeclarationCollectorTest {
    private static final String DIGEST = KeyDigest.of("key").hex();
    private static final String MODELS = "models:\n  - name: m\n    maxOutputTokens: 10\n";
    private static final String CUSTOMER =
            """
            customers:
              - name: c
                keys: [%s]
                models: [m]
                regions: {a: 2, b: 1}
                rate: 10
                burst: 100
            """
                    .formatted(DIGEST);

    private final DeclarationCollector collector = new DeclarationCollector();

    @Test
    void publishedValuesMatchTheDeclarations() {
        collector.add("models.yaml", MODELS);
        collector.add("c.yaml", CUSTOMER);
        assertThat(findings(), is(List.of()));
        Findings none = new Findings();
        ParsedValue customers =
                collector.publish().values().entrySet().stream()
                        .filter(e -> e.getKey().startsWith(PublishedDeclarations.CUSTOMERS_PREFIX))
                        .map(e -> DocumentParser.json().parse(e.getKey(), e.getValue(), none))
                        .findFirst()
                        .orElseThrow();
        assertThat(none.list(), is(List.of()));
        Customer customer = customers.customers().get(0);
        assertThat(customer.regionShare(new RegionId("a")), is(2.0 / 3));
        assertThat(customer.keys(), contains(new KeyDigest(DIGEST)));
    }

    @Test
    void orderOfFilesDoesNotMatter() {
        collector.add("models.yaml", MODELS);
        collector.add("c.yaml", CUSTOMER);
        DeclarationCollector other = new DeclarationCollector();
        other.add("c.yaml", CUSTOMER);
        other.add("models.yaml", MODELS);
        assertThat(collector.publish().values(), is(other.publish().values()));
    }

    /**
     * One of two declarations with the same name would win, depending on the order of the files.
     */
    @Test
    void declarationsWithFindingsAreNotPublished() {
        String other = CUSTOMER.replace("rate: 10", "rate: 20");
        collector.add("models.yaml", MODELS);
        collector.add("one.yaml", CUSTOMER);
        collector.add("two.yaml", other);
        assertThrows(IllegalStateException.class, collector::publish);
    }

    @Test
    void customerDeclaredTwiceIsAFindingAtBothPlaces() {
        collector.add("models.yaml", MODELS);
        collector.add("one.yaml", CUSTOMER);
        collector.add("two.yaml", CUSTOMER);
        assertThat(
                findings(),
                hasItem(
                        "one.yaml:2:11: duplicate: customer 'c' is also declared at two.yaml:2:11"));
        assertThat(
                findings(),
                hasItem(
                        "two.yaml:2:11: duplicate: customer 'c' is also declared at one.yaml:2:11"));
    }

    @Test
    void keyGrantedToTwoCustomersIsAFinding() {
        collector.add("models.yaml", MODELS);
        collector.add("one.yaml", CUSTOMER);
        collector.add("two.yaml", CUSTOMER.replace("name: c", "name: d"));
        assertThat(findings(), hasItem(containsString("a key of this customer is also granted")));
    }

    @Test
    void allErrorsInAFileAreReportedTogether() {
        String text =
                """
                customers:
                  - name: c
                    keys: [my-clear-key]
                    regions: [a]
                    rate: fast
                    burst: -1
                    colour: blue
                    models: [nowhere]
                """;
        collector.add("bad.yaml", text);
        List<String> found = findings();
        assertThat(found, hasItem(containsString("bad.yaml:3:12: clear-key:")));
        assertThat(found, hasItem(containsString("bad.yaml:5:11: bad-value: field 'rate'")));
        assertThat(found, hasItem(containsString("bad.yaml:6:12: bad-value: field 'burst'")));
        assertThat(found, hasItem(containsString("bad.yaml:7:13: unknown-field:")));
        assertThat(found, hasItem(containsString("undeclared: model 'nowhere'")));
    }

    @Test
    void malformedTextIsAFindingWithItsLine() {
        collector.add("bad.yaml", "customers:\n  - name: [c\n");
        assertThat(findings(), hasItem(containsString("bad.yaml:2:")));
    }

    @Test
    void duplicateFieldIsAFinding() {
        collector.add("bad.yaml", MODELS + MODELS);
        assertThat(findings(), hasItem(containsString("field 'models' occurs twice")));
    }

    private List<String> findings() {
        return collector.findings().list().stream().map(Object::toString).toList();
    }
}
